package plat

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/reply"
	"github.com/bambooladder/bambooladder/core/reply/fakes"
)

// The platform sends an invalid head. Hosts and records must not be used, and an append may have happened.
func TestAnswerOfThePlatformWithAnInvalidHeadIsAnError(t *testing.T) {
	hc := reply.NewClient(&http.Transport{})
	fakes.ServeInvalid(t, `{"hosts":[],"first":0,"next":4,"records":[]}`, func(address, answer string) {
		if list, err := NewHosts(hc, "http://"+address, zerolog.Nop()).List(t.Context()); err == nil {
			t.Errorf("%q: hosts %v", answer, list)
		}
		lo := NewLog(hc, "http://"+address)
		if page, err := lo.Read(t.Context(), "s", 0, 0); err == nil || errors.Is(err, ErrExpired) {
			t.Errorf("%q: page %+v, error %v", answer, page, err)
		}
		if err := lo.Append(t.Context(), "s", nil); err == nil || errors.Is(err, ErrNotAppended) {
			t.Errorf("%q: an append has the result %v", answer, err)
		}
	})
}

const (
	// streamCount is more streams than a node reads at the same time.
	streamCount = 24
	// heapSlack is what connections and goroutines take beside bodies, in bytes.
	heapSlack = 32 << 20
)

// The log sends endless responses to all reads of a node. The reads must fail, and use no more memory than their budget.
func TestEndlessAnswersOfTheLogHoldBoundedMemory(t *testing.T) {
	for name, en := range map[string]*fakes.Endless{
		"a head":          {Text: "HTTP/1.1 200 OK\r\nA: ", Block: "e"},
		"a string":        {Text: "HTTP/1.1 200 OK\r\n\r\n{\"records\":[{\"data\":\"", Block: "e", StallAfter: maxResponseBytes / 2},
		"a long string":   {Text: "HTTP/1.1 200 OK\r\n\r\n{\"records\":[{\"data\":\"", Block: "e"},
		"no JSON":         {Text: "HTTP/1.1 200 OK\r\n\r\n", Block: "e", StallAfter: maxResponseBytes / 2},
		"another status":  {Text: "HTTP/1.1 410 Gone\r\n\r\n{\"records\":[{\"data\":\"", Block: "e", StallAfter: maxResponseBytes / 2},
		"a status of 000": {Text: "HTTP/1.1 000 Trouble\r\n\r\n{\"records\":[{\"data\":\"", Block: "e"},
	} {
		lo := NewLog(reply.NewClient(&http.Transport{}), "http://"+fakes.Serve(t, en.Answer))
		held := en.HeapWhenStalled(streamCount, func() {
			wg := sync.WaitGroup{}
			for range streamCount {
				wg.Go(func() {
					if _, err := lo.Read(t.Context(), "s", 0, time.Second); err == nil || errors.Is(err, ErrExpired) {
						t.Errorf("endless: %s: error %v", name, err)
					}
				})
			}
			wg.Wait()
		})
		if want := int64(maxAllReadBytes + heapSlack); held > want {
			t.Errorf("endless: %s, %d times: %d MiB, want at most %d", name, streamCount, held>>20, want>>20)
		}
		t.Logf("%s: %d MiB", name, held>>20)
	}
}

func TestEndlessListOfHostsIsAnError(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\n\r\n{\"hosts\":[\""} {
		en := &fakes.Endless{Text: text, Block: "e"}
		if list, err := NewHosts(reply.NewClient(&http.Transport{}), "http://"+fakes.Serve(t, en.Answer), zerolog.Nop()).List(t.Context()); err == nil {
			t.Errorf("%q: hosts %v", text, list)
		}
	}
}
