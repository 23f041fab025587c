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
	// Data is the encoded envelope.
	Data []byte
}

// Encode encodes an envelope as CBOR.
func Encode(en *Envelope) ([]byte, error) {
	data, err := cbor.Marshal(en)
	return data, errors.Wrap(err, "record: encode envelope")
}

// Decode decodes an envelope from CBOR.
func Decode(data []byte) (*Envelope, error) {
	en := &Envelope{}
	err := cbor.Unmarshal(data, en)
	return en, errors.Wrap(err, "record: decode envelope")
}
