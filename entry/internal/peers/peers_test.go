package peers

import (
	"net/http"
	"testing"

	"github.com/bambooladder/bambooladder/core/member"
	"github.com/bambooladder/bambooladder/core/record"
	"github.com/bambooladder/bambooladder/core/reply"
	"github.com/bambooladder/bambooladder/core/reply/fakes"
)

// directory lists one peer at an address.
type directory string

func (di directory) Entries() []member.Host {
	return []member.Host{{Name: "peer", Address: string(di)}}
}

// A peer in trouble answers with a head that is none. Neither settings nor a status are taken from it.
func TestAnswerOfAPeerWithAnInvalidHeadIsNone(t *testing.T) {
	data, err := record.Encode(&record.Envelope{Image: &record.Image{Next: 7}})
	if err != nil {
		t.Fatal(err)
	}
	read := func(address, answer string) {
		pe := NewPeers(reply.NewClient(&http.Transport{}), directory(address), "self", func() float64 { return 0 })
		if im, found := pe.LatestImage(t.Context()); found {
			t.Errorf("%q: settings %+v", answer, im)
		}
		if no := pe.Statuses(t.Context()); len(no) != 1 || no[0].Revision != 0 {
			t.Errorf("%q: statuses %+v", answer, no)
		}
	}
	fakes.ServeInvalid(t, string(data), read)
	fakes.ServeInvalid(t, `{"name":"peer","revision":7}`, read)
}
