package wire

import (
	"bytes"
	"testing"
)

func FuzzDecodeFirst(fu *testing.F) {
	buf := bytes.Buffer{}
	for _, fr := range []*Frame{{Cancel: &Cancel{Attempt: "a"}}, {Chunk: &Chunk{Attempt: "a", Sequence: 1, Data: []byte("x")}}} {
		if err := Append(&buf, fr); err != nil {
			fu.Fatal(err)
		}
	}
	fu.Add(buf.Bytes())
	fu.Add([]byte{0xa0})
	fu.Fuzz(func(t *testing.T, data []byte) {
		for len(data) > 0 {
			fr, rest, err := DecodeFirst(data)
			if err != nil {
				return
			}
			if fr.messages() != 1 || len(rest) >= len(data) {
				t.Fatal("a frame without exactly one message was taken")
			}
			data = rest
		}
	})
}
