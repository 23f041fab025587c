package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// pipeListener accepts the far ends of pipes.
type pipeListener struct {
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (pl *pipeListener) Accept() (net.Conn, error) {
	select {
	case nc := <-pl.accept:
		return nc, nil
	case <-pl.closed:
		return nil, net.ErrClosed
	}
}

func (pl *pipeListener) Close() error {
	pl.once.Do(func() { close(pl.closed) })
	return nil
}

func (pl *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// idleMax is how long idle connections are left open.
const idleMax = time.Second

// served is a server whose connections a set follows.
type served struct {
	se *Set
	pl *pipeListener
	hs *http.Server
}

// serve starts a server with a time to read heads.
func serve(limits Limits, headTime time.Duration, ha http.Handler) *served {
	sv := &served{se: NewSet(limits, zerolog.Nop()), pl: &pipeListener{accept: make(chan net.Conn), closed: make(chan struct{})}}
	sv.hs = &http.Server{Handler: ha, ReadHeaderTimeout: headTime, IdleTimeout: time.Hour, ConnState: sv.se.ConnState}
	go func() { _ = sv.hs.Serve(sv.se.Listener(sv.pl)) }()
	return sv
}

// dial opens a connection.
func (sv *served) dial() (net.Conn, *bufio.Reader) {
	near, far := net.Pipe()
	sv.pl.accept <- far
	return near, bufio.NewReader(near)
}

const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// ask sends a request in parts, with a pause between them, and reports whether it was answered.
func ask(nc net.Conn, rd *bufio.Reader, pause time.Duration, parts ...string) bool {
	for ix, part := range parts {
		if ix > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(nc, part); err != nil {
			return false
		}
	}
	resp, err := http.ReadResponse(rd, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return err == nil
}

// A stop ends idle connections only, whatever it finds: one that waits for its first request, one that is idle, one within
// the head of its next request and one with a request.
func TestDrainClosesNoConnectionUnderARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answerTime, headTime = 3 * time.Second, 5 * time.Second
		sv := serve(Limits{Idle: idleMax}, headTime, http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
			time.Sleep(answerTime)
			wr.WriteHeader(http.StatusOK)
		}))
		defer func() { _ = sv.hs.Close() }()
		unread, unreadAnswers := sv.dial()
		silent, _ := sv.dial()
		idle, idleAnswers := sv.dial()
		partly, partlyAnswers := sv.dial()
		if !ask(idle, idleAnswers, 0, request) || !ask(partly, partlyAnswers, 0, request) {
			t.Fatal("no answer before the stop")
		}
		unread2, unread2Answers := sv.dial()
		start := time.Now()
		results := make(chan bool, 3)
		go func() { results <- ask(partly, partlyAnswers, 2*time.Second, request[:9], request[9:]) }()
		go func() {
			time.Sleep(4 * time.Second)
			results <- ask(unread2, unread2Answers, 0, request)
		}()
		go func() { results <- !ask(unread, unreadAnswers, time.Minute, request[:5], request[5:]) }()
		synctest.Wait()
		_ = sv.pl.Close()
		if left := sv.se.Drain(t.Context()); left.All() != 0 {
			t.Errorf("%+v are left", left)
		}
		if took := time.Since(start); took < answerTime || took > 2*headTime {
			t.Errorf("the connections have ended after %v", took)
		}
		for range cap(results) {
			if !<-results {
				t.Error("a request got no answer, or one without a whole head got one")
			}
		}
		if ask(idle, idleAnswers, 0, request) || ask(silent, idleAnswers, 0, request) {
			t.Error("an idle connection is open after the drain")
		}
	})
}

// A drain whose time is over tells what is left.
func TestDrainEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sv := serve(Limits{Idle: idleMax}, time.Minute, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(10 * time.Second) }))
		defer func() { _ = sv.hs.Close() }()
		first, firstAnswers := sv.dial()
		_, _ = sv.dial()
		done := make(chan bool)
		go func() { done <- ask(first, firstAnswers, 0, request) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if left := sv.se.Drain(ctx); left != (Counts{Unread: 1, Active: 1}) {
			t.Errorf("%+v are left, want one without and one with a request", left)
		}
		if !<-done {
			t.Error("the request got no answer")
		}
	})
}

// A connection that is used again and again is not ended between two requests that follow each other.
func TestDrainLeavesAConnectionThatIsInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sv := serve(Limits{Idle: idleMax}, time.Minute, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(300 * time.Millisecond) }))
		defer func() { _ = sv.hs.Close() }()
		nc, answers := sv.dial()
		answered := make(chan int)
		go func() {
			count := 0
			for count < 10 && ask(nc, answers, 0, request) {
				count++
				time.Sleep(idleMax - 2*pollPeriod)
			}
			answered <- count
		}()
		synctest.Wait()
		go sv.se.Drain(t.Context())
		if count := <-answered; count != 10 {
			t.Errorf("%d requests were answered, want 10", count)
		}
	})
}
