package wire

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// FrameBytesMax bounds an encoded frame, in bytes.
const FrameBytesMax = 16 << 20

var decMode = mustDecMode()

// mustDecMode builds a decoder that bounds nesting and refuses duplicate keys.
func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:       cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels: 8,
		IndefLength:     cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the frame as CBOR.
func Encode(fr *Frame) ([]byte, error) {
	data, err := cbor.Marshal(fr)
	return data, errors.Wrap(err, "wire: encode frame")
}

// Decode reads a frame from CBOR and fails unless it carries exactly one message.
func Decode(data []byte) (*Frame, error) {
	fr := &Frame{}
	if err := decMode.Unmarshal(data, fr); err != nil {
		return nil, errors.Wrap(err, "wire: decode frame")
	}
	if fr.messages() != 1 {
		return nil, errors.Newf("wire: frame carries %d messages instead of one", fr.messages())
	}
	return fr, nil
}

// messages counts the messages in the frame.
func (fr *Frame) messages() int {
	count := 0
	for _, present := range [...]bool{
		fr.Hello != nil, fr.Welcome != nil, fr.Heartbeat != nil, fr.Report != nil,
		fr.Dispatch != nil, fr.Credit != nil, fr.Cancel != nil, fr.Void != nil,
		fr.Verdict != nil, fr.Refusal != nil, fr.Head != nil, fr.Chunk != nil, fr.End != nil,
	} {
		if present {
			count++
		}
	}
	return count
}
