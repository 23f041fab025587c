package record

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Entry is one record as read off the log.
type Entry struct {
	// Offset is the record's place in its stream.
	Offset int64
	// Time is when the log took the record, in Unix milliseconds.
	Time int64
	// Data is the encoded envelope.
	Data []byte
}

// Encode returns the envelope as CBOR.
func Encode(en *Envelope) ([]byte, error) {
	data, err := cbor.Marshal(en)
	return data, errors.Wrap(err, "record: encode envelope")
}

// Decode reads an envelope from CBOR.
func Decode(data []byte) (*Envelope, error) {
	en := &Envelope{}
	err := cbor.Unmarshal(data, en)
	return en, errors.Wrap(err, "record: decode envelope")
}
