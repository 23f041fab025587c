package proofs

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bambooladder/bambooladder/core/conf"
)

const (
	// longAnswer is how long calls of /unsafe/ and streams run in the tests of late requests, shortAnswer those of /safe/.
	longAnswer  = 5 * time.Second
	shortAnswer = 300 * time.Millisecond
	// longEvents is the number of events of a stream that takes longAnswer.
	longEvents = 10
	// answersEnd is when a stop of stopTime ends the answers that still run.
	answersEnd = 7100 * time.Millisecond
	// promptRejection is within what time a request that cannot be served must be told so once it is there whole.
	promptRejection = 200 * time.Millisecond
)

// lateRequest is a request whose head comes at a time after SIGTERM and whose last byte comes at another one.
type lateRequest struct {
	id, target, adapter string
	head, body          time.Duration
	// served is true if the answer ends before the stop ends answers.
	served bool
	reply  directReply
}

// answerByRoute makes all servers answer after longAnswer, but after shortAnswer to requests of /safe/.
func (ds *directSimulation) answerByRoute() {
	ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
		if rq.Header.Get(headerAdapter) == "" {
			took := longAnswer
			if strings.HasPrefix(rq.URL.Path, "/safe/") {
				took = shortAnswer
			}
			time.Sleep(took)
			defaultAnswer(wr, rq)
			return
		}
		writeSealHeaders(wr, rq)
		for number := 1; number <= longEvents; number++ {
			time.Sleep(longAnswer / longEvents)
			_, _ = fmt.Fprintf(wr, "id: %d\ndata: event %d\n\n", number, number)
			_ = http.NewResponseController(wr).Flush()
		}
	})
}

// sendAt sends the request with its head and its last byte at their times after now.
func (lr *lateRequest) sendAt(ctx context.Context, ds *directSimulation, entry string) {
	time.Sleep(lr.head)
	body, fill := io.Pipe()
	go func() {
		_, _ = io.WriteString(fill, "part")
		time.Sleep(lr.body - lr.head)
		_ = fill.Close()
	}()
	lr.reply = ds.sendPatiently(ctx, entry, lr.id, lr.target, lr.adapter, body)
}

// check checks that the request was served, or told truly and promptly that it has not run.
func (lr *lateRequest) check(t *testing.T, runs map[string]int, length time.Duration) {
	t.Helper()
	re := &lr.reply
	if lr.served {
		if re.err != nil || re.status != http.StatusOK {
			t.Errorf("%s got status %d, %v, after %v, want 200", lr.id, re.status, re.err, re.took)
		}
		return
	}
	checkNotRun(t, lr.id, *re, runs, length)
	if late := re.took - (lr.body - lr.head); late > promptRejection {
		t.Errorf("%s was told %v after its last byte that it has not run, want at most %v", lr.id, late, promptRejection)
	}
}

// Requests that come so late in a planned stop that their answers cannot end before it were passed on and cut off.
func TestDirectStopPassesOnNoRequestThatItWouldCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ds := newDirectSimulation(t, 2, 1)
		defer ds.close()
		ds.patientRoutes()
		ds.answerByRoute()
		for _, target := range []string{"/unsafe/x", "/safe/x"} {
			ds.sendPatiently(t.Context(), "entry-1", "before-"+target, target, "", nil)
		}
		ds.sendPatiently(t.Context(), "entry-1", "before-stream", "/once/x", "a1", nil)
		list := lateRequests()
		stopped := ds.stopEntry(len(ds.apps) - 1)
		done := make(chan struct{})
		for _, lr := range list {
			go func() {
				lr.sendAt(t.Context(), ds, "entry-1")
				done <- struct{}{}
			}()
		}
		for range list {
			<-done
		}
		<-stopped
		for _, lr := range list {
			lr.check(t, ds.runs(), stopTime)
		}
	})
}

// lateRequests returns requests of each kind that are whole at moments up to the end of a stop.
func lateRequests() []*lateRequest {
	list := []*lateRequest(nil)
	for _, kind := range []struct {
		target, adapter string
		took            time.Duration
	}{{"/unsafe/x", "", longAnswer}, {"/once/x", "a1", longAnswer}, {"/safe/x", "", shortAnswer}} {
		for whole := 500 * time.Millisecond; whole < answersEnd-2*shortAnswer; whole += 900 * time.Millisecond {
			if end := whole + kind.took; end > answersEnd-shortAnswer && end < answersEnd+shortAnswer {
				continue
			}
			list = append(list, &lateRequest{
				id: fmt.Sprintf("%s-%d", kind.target, whole.Milliseconds()), target: kind.target, adapter: kind.adapter,
				head: min(whole, 2400*time.Millisecond), body: whole, served: whole+kind.took < answersEnd,
			})
		}
	}
	return list
}

// The bounds of a stop follow from its length: margins in seconds cut off requests in short ones.
func TestDirectStopOfAnyLengthCutsNoRequest(t *testing.T) {
	for _, length := range []time.Duration{2 * time.Second, 4 * time.Second, 16 * time.Second} {
		t.Run(length.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playStopOfLength(t, length) })
		})
	}
}

// playStopOfLength sends requests that take two fifths of a stop, and checks that each is served or told promptly that it has
// not run.
func playStopOfLength(t *testing.T, length time.Duration) {
	ds := newDirectSimulation(t, 2, 0)
	defer ds.close()
	ds.patientRoutes()
	ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
		time.Sleep(length * 2 / 5)
		defaultAnswer(wr, rq)
	})
	ds.tune = func(se *conf.DirectEntrySettings) { se.StopMs = int(length.Milliseconds()) }
	ds.startEntry("entry-2")
	for number := range 4 {
		ds.sendPatiently(t.Context(), "entry-2", fmt.Sprintf("before-%d", number), "/unsafe/x", "", nil)
	}
	list := []*lateRequest(nil)
	for tenth := 1; tenth < 10; tenth++ {
		whole := time.Duration(tenth) * length / 10
		list = append(list, &lateRequest{id: fmt.Sprintf("call-%d", tenth), target: "/unsafe/x", head: min(whole, 1500*time.Millisecond), body: whole, served: tenth <= 4})
	}
	stopped := ds.stopEntry(len(ds.apps) - 1)
	done := make(chan struct{})
	for _, lr := range list {
		go func() {
			lr.sendAt(t.Context(), ds, "entry-2")
			done <- struct{}{}
		}()
	}
	for range list {
		<-done
	}
	<-stopped
	for _, lr := range list {
		lr.check(t, ds.runs(), length)
	}
}
