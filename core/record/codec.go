package record

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// LogRecord is one record as read from the log.
type LogRecord struct {
	// Offset is the position of the record in its stream.
	Offset int64
	// Time is the timestamp that the log gave the record, in Unix milliseconds.
	Time int64
	// Data is the CBOR encoding of an Envelope, which holds the contents of the record.
	Data []byte
}

// Encode encodes an envelope as CBOR.
func Encode(env *Envelope) ([]byte, error) {
	data, err := cbor.Marshal(env)
	return data, errors.Wrap(err, "record: encode envelope")
}

// Decode decodes an envelope from CBOR.
func Decode(data []byte) (*Envelope, error) {
	env := &Envelope{}
	err := cbor.Unmarshal(data, env)
	return env, errors.Wrap(err, "record: decode envelope")
}
