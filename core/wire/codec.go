package wire

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// FrameBytesMax bounds an encoded frame, in bytes.
const FrameBytesMax = 16 << 20

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// mustEncMode builds an encoder that appends to a buffer and leaves zero values out.
func mustEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{OmitEmpty: cbor.OmitEmptyGoValue}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

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

// Append adds the frame to a buffer as CBOR; several frames in a row are a CBOR sequence.
func Append(buf *bytes.Buffer, fr *Frame) error {
	return errors.Wrap(encMode.MarshalToBuffer(fr, buf), "wire: encode frame")
}

// DecodeFirst reads the first frame of a CBOR sequence and returns it with the rest. It
// fails unless the frame carries exactly one message.
func DecodeFirst(data []byte) (*Frame, []byte, error) {
	fr := &Frame{}
	rest, err := decMode.UnmarshalFirst(data, fr)
	if err != nil {
		return nil, nil, errors.Wrap(err, "wire: decode frame")
	}
	if fr.messages() != 1 {
		return nil, nil, errors.Newf("wire: frame carries %d messages instead of one", fr.messages())
	}
	return fr, rest, nil
}

// messages counts the messages in the frame.
func (fr *Frame) messages() int {
	count := 0
	for _, present := range [...]bool{
		fr.Hello != nil, fr.Welcome != nil, fr.Heartbeat != nil, fr.Report != nil,
		fr.Dispatch != nil, fr.Credit != nil, fr.Cancel != nil, fr.Void != nil,
		fr.Verdict != nil, fr.Refusal != nil, fr.Head != nil, fr.Chunk != nil, fr.End != nil,
		fr.Holdings != nil, fr.Reserve != nil, fr.Grant != nil, fr.Queued != nil, fr.Release != nil, fr.Prepare != nil,
		fr.Started != nil,
	} {
		if present {
			count++
		}
	}
	return count
}
