package wire

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// MaxReadBytes is the maximum size in bytes of a received WebSocket message, which may hold
// several frames.
const MaxReadBytes = 16 << 20

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// mustEncMode returns an encoder that appends to a buffer and omits zero values.
func mustEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{OmitEmpty: cbor.OmitEmptyGoValue}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustDecMode returns a decoder that rejects more than 8 levels of nesting, duplicate keys and
// values of indefinite length.
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

// Append encodes the frame as CBOR and appends it to the buffer. Several frames in one buffer
// form a CBOR sequence (RFC 8742).
func Append(buf *bytes.Buffer, fr *Frame) error {
	return errors.Wrap(encMode.MarshalToBuffer(fr, buf), "wire: encode frame")
}

// DecodeFirst decodes the first frame of a CBOR sequence and returns it and the remaining
// data. It fails unless the frame carries exactly one message.
func DecodeFirst(data []byte) (*Frame, []byte, error) {
	fr := &Frame{}
	rest, err := decMode.UnmarshalFirst(data, fr)
	if err != nil {
		return nil, nil, errors.Wrap(err, "wire: decode frame")
	}
	if fr.countMessages() != 1 {
		return nil, nil, errors.Newf("wire: frame carries %d messages, want exactly 1", fr.countMessages())
	}
	return fr, rest, nil
}

// countMessages returns the number of messages in the frame.
func (fr *Frame) countMessages() int {
	count := 0
	for _, present := range [...]bool{
		fr.Hello != nil, fr.Welcome != nil, fr.Heartbeat != nil, fr.Report != nil,
		fr.Dispatch != nil, fr.Credit != nil, fr.Cancel != nil, fr.Void != nil,
		fr.Verdict != nil, fr.Refusal != nil, fr.Head != nil, fr.Chunk != nil, fr.End != nil,
		fr.Holdings != nil, fr.Reserve != nil, fr.Grant != nil, fr.Queued != nil, fr.Release != nil, fr.Prepare != nil,
		fr.Started != nil, fr.Peers != nil, fr.LogBatch != nil, fr.CrashReport != nil, fr.LeaseQuery != nil, fr.LeaseAnswer != nil, fr.PartReport != nil,
		fr.Origins != nil, fr.OriginQuery != nil, fr.OriginAnswer != nil, fr.Versions != nil, fr.QuotaQuery != nil, fr.QuotaAnswer != nil,
	} {
		if present {
			count++
		}
	}
	return count
}
