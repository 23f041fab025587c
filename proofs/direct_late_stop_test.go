package proofs

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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
	// noticeEnd is until when new connections come in a stop.
	noticeEnd = 2400 * time.Millisecond
	// answersEnd is when a stop of stopTime ends the answers that still run.
	answersEnd = 7100 * time.Millisecond
	// servedBefore is the number of requests of each kind that are served before the stop.
	servedBefore = 20
	// promptRejection is within what time a request that cannot be served must be told so once it is there whole.
	promptRejection = 200 * time.Millisecond
)

// lateRequest is a request whose head comes at a time after SIGTERM and whose last byte comes at another one.
type lateRequest struct {
	id, target, adapter string
	head, body          time.Duration
	// mustBeServed is true if the answer ends long before the stop ends answers, mustBeRefused if it would not.
	mustBeServed, mustBeRefused bool
	reply                       directReply
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

// serveBefore sends so many requests that the entry node knows how long their answers take.
func (ds *directSimulation) serveBefore(entry, target, adapter string) {
	for number := range servedBefore {
		ds.sendPatiently(context.Background(), entry, fmt.Sprintf("before-%s-%d", target, number), target, adapter, nil)
	}
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
	served := re.err == nil && re.status == http.StatusOK
	if served && lr.mustBeRefused || !served && lr.mustBeServed {
		t.Errorf("%s got status %d, %v, after %v, want that it is served: %t", lr.id, re.status, re.err, re.took, lr.mustBeServed)
	}
	if served {
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
		ds.serveBefore("entry-1", "/unsafe/x", "")
		ds.serveBefore("entry-1", "/safe/x", "")
		ds.serveBefore("entry-1", "/once/x", "a1")
		list := lateRequests()
		stopped := ds.stopEntry(len(ds.apps) - 1)
		ds.sendLate(t.Context(), "entry-1", list)
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
			list = append(list, &lateRequest{
				id: fmt.Sprintf("%s-%d", kind.target, whole.Milliseconds()), target: kind.target, adapter: kind.adapter, head: min(whole, noticeEnd), body: whole,
				mustBeServed:  whole+kind.took < answersEnd-shortAnswer && (whole < noticeEnd || whole+2*kind.took < answersEnd),
				mustBeRefused: whole+kind.took > answersEnd,
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

// playStopOfLength sends requests that take three tenths of a stop, and checks that each is served or told promptly that it has
// not run.
func playStopOfLength(t *testing.T, length time.Duration) {
	tenth := length / 10
	ds := newDirectSimulation(t, 2, 0)
	defer ds.close()
	ds.patientRoutes()
	ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
		time.Sleep(3 * tenth)
		defaultAnswer(wr, rq)
	})
	ds.tune = func(se *conf.DirectEntrySettings) { se.StopMs = int(length.Milliseconds()) }
	ds.startEntry("entry-2")
	ds.serveBefore("entry-2", "/unsafe/x", "")
	list := []*lateRequest(nil)
	for number := 1; number < 10; number++ {
		whole := time.Duration(number) * tenth
		list = append(list, &lateRequest{
			id: fmt.Sprintf("call-%d", number), target: "/unsafe/x", head: min(whole, 1500*time.Millisecond), body: whole,
			mustBeServed: number <= 4, mustBeRefused: number >= 7,
		})
	}
	stopped := ds.stopEntry(len(ds.apps) - 1)
	ds.sendLate(t.Context(), "entry-2", list)
	<-stopped
	for _, lr := range list {
		lr.check(t, ds.runs(), length)
	}
}

// sendLate sends requests at their times and waits for the answers.
func (ds *directSimulation) sendLate(ctx context.Context, entry string, list []*lateRequest) {
	wg := sync.WaitGroup{}
	for _, lr := range list {
		wg.Go(func() { lr.sendAt(ctx, ds, entry) })
	}
	wg.Wait()
}

// Errors of a server are no answers that tell how long a call takes: after some quick ones calls were begun too late.
func TestDirectStopIsNotMisledByQuickErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ds := newDirectSimulation(t, 1, 0)
		defer ds.close()
		ds.patientRoutes()
		ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
			if strings.HasPrefix(rq.Header.Get(headerID), "before") {
				writeSealHeaders(wr, rq)
				wr.WriteHeader(http.StatusConflict)
				return
			}
			time.Sleep(longAnswer)
			defaultAnswer(wr, rq)
		})
		ds.serveBefore("entry-1", "/unsafe/x", "")
		stopped := ds.stopEntry(len(ds.apps) - 1)
		lr := &lateRequest{id: "late", target: "/unsafe/x", head: noticeEnd, body: 4 * time.Second, mustBeRefused: true}
		lr.sendAt(t.Context(), ds, "entry-1")
		<-stopped
		lr.check(t, ds.runs(), stopTime)
	})
}

// A call that may be repeated is not begun once more if the stop would cut it; its caller was told nothing until the end.
func TestDirectStopBeginsNoSecondAttemptThatItWouldCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ds := newDirectSimulation(t, 2, 0)
		defer ds.close()
		ds.patientRoutes()
		ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
			time.Sleep(time.Second)
			if rq.Header.Get(headerID) == "late" {
				hijack(wr, func(*bufio.ReadWriter) {})
				return
			}
			defaultAnswer(wr, rq)
		})
		ds.serveBefore("entry-1", "/safe/x", "")
		stopped := ds.stopEntry(len(ds.apps) - 1)
		lr := &lateRequest{id: "late", target: "/safe/x", head: noticeEnd, body: 5500 * time.Millisecond}
		lr.sendAt(t.Context(), ds, "entry-1")
		<-stopped
		took := lr.reply.took - (lr.body - lr.head)
		if lr.reply.status != http.StatusBadGateway || took > time.Second+promptRejection || ds.runs()["late"] != 1 {
			t.Errorf("status %d %v after its last byte, %d runs, want 502 once the first attempt has failed", lr.reply.status, took, ds.runs()["late"])
		}
	})
}

// slowDial is a network whose connections take a while to open once a delay is set.
type slowDial struct {
	*hostNetwork
	delay atomic.Int64
}

// DialContext opens a connection after the delay.
func (sd *slowDial) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	time.Sleep(time.Duration(sd.delay.Load()))
	return sd.hostNetwork.DialContext(ctx, network, address)
}

// A call that has waited for a connection is asked anew whether it can end: it was sent too late and cut.
func TestDirectStopSendsNothingTooLateAfterAWaitForAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ds := newDirectSimulation(t, 1, 0)
		defer ds.close()
		ds.patientRoutes()
		ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
			time.Sleep(shortAnswer)
			defaultAnswer(wr, rq)
		})
		sd := &slowDial{hostNetwork: ds.net.forHost("entry-3")}
		ds.network = sd
		ds.startEntry("entry-3")
		ds.serveBefore("entry-3", "/unsafe/x", "")
		time.Sleep(20 * time.Second) // no connection is kept
		sd.delay.Store(int64(450 * time.Millisecond))
		stopped := ds.stopEntry(len(ds.apps) - 1)
		lr := &lateRequest{id: "late", target: "/unsafe/x", head: noticeEnd, body: 6600 * time.Millisecond}
		lr.sendAt(t.Context(), ds, "entry-3")
		<-stopped
		if lr.reply.status != http.StatusServiceUnavailable || ds.runs()["late"] != 0 {
			t.Errorf("status %d, %v, %d runs, want 503 and none", lr.reply.status, lr.reply.err, ds.runs()["late"])
		}
	})
}

// A request that is refused by its head must be told so at once. The answer waited for the body, which may come slowly.
func TestDirectRefusalByTheHeadDoesNotWaitForTheBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ds := newDirectSimulation(t, 1, 0)
		defer ds.close()
		body, fill := io.Pipe()
		defer func() { _ = fill.Close() }()
		reply := make(chan directReply, 1)
		go func() { reply <- ds.sendPatiently(t.Context(), "entry-1", "lost", "/nowhere/x", "", body) }()
		_, _ = io.WriteString(fill, "part")
		time.Sleep(time.Second)
		_ = fill.Close()
		if re := <-reply; re.err != nil || re.status != http.StatusNotFound || re.took > promptRejection {
			t.Errorf("status %d, %v, after %v, want 404 at once", re.status, re.err, re.took)
		}
	})
}
