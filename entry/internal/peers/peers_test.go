package peers

import (
	"fmt"
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

// A peer sends an invalid head. Its settings and its status must not be used.
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

const (
	// peerCount is a usual number of entry nodes.
	peerCount = 20
	// heapSlack is what connections and goroutines take beside bodies, in bytes.
	heapSlack = 32 << 20
)

// manyPeers lists many peers at an address.
type manyPeers string

func (mp manyPeers) Entries() []member.Host {
	list := make([]member.Host, 0, peerCount)
	for number := range peerCount {
		list = append(list, member.Host{Name: fmt.Sprint("peer-", number), Address: string(mp)})
	}
	return list
}

// Something else at the addresses of peers sends endless responses. They must not be used, and take no more memory than their budget.
func TestEndlessAnswersOfPeersHoldBoundedMemory(t *testing.T) {
	for name, en := range map[string]*fakes.Endless{
		"head": {Text: "HTTP/1.1 200 OK\r\nA: ", Block: "e"},
		"body": {Text: "HTTP/1.1 200 OK\r\n\r\n{\"name\":\"", Block: "e", StallAfter: maxResponseBytes / 2},
		"long": {Text: "HTTP/1.1 200 OK\r\n\r\n{\"name\":\"", Block: "e"},
	} {
		pe := NewPeers(reply.NewClient(&http.Transport{}), manyPeers(fakes.Serve(t, en.Answer)), "self", func() float64 { return 0 })
		held := en.HeapWhenStalled(peerCount, func() {
			for _, no := range pe.Statuses(t.Context()) {
				if no.Reachable {
					t.Errorf("a peer that sends an endless %s is reachable", name)
				}
			}
		})
		// Peers are asked one after another for an image.
		if _, found := pe.LatestImage(t.Context()); found {
			t.Errorf("an endless %s is an image", name)
		}
		if want := int64(maxAllReadBytes + heapSlack); held > want {
			t.Errorf("an endless %s, %d times: %d MiB, want at most %d", name, peerCount, held>>20, want>>20)
		}
		t.Logf("%s: %d MiB", name, held>>20)
	}
}
