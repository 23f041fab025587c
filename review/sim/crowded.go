package sim

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// CrowdedOptions describes a plain server that is often full.
type CrowdedOptions struct {
	Service string
	// Slots is the number of requests that run at once, Queue the number of those that wait beside.
	Slots, Queue int
	// Work is how long a request runs.
	Work time.Duration
	// Delay is that of the link to the server, in each direction.
	Delay time.Duration
	// Seed makes the same answers come a second time for the same order of requests.
	Seed uint64
}

// Crowded is a plain server with a limited number of places. It is created by StartCrowded.
type Crowded struct {
	*server
	op    CrowdedOptions
	slots chan struct{}

	cmu    sync.Mutex
	random *rand.Rand
	// extraShare is the share of the answers that come a second time, where the next answer on their channel is
	// expected, from 0 to 1.
	extraShare float64
	inside     int
}

// StartCrowded starts a crowded server that is known to the store.
func StartCrowded(re *Record, st *Store, id, ip string, op CrowdedOptions) (*Crowded, error) {
	ls, err := listen(ip + ":0")
	if err != nil {
		return nil, err
	}
	cr := &Crowded{op: op, slots: make(chan struct{}, op.Slots), random: rand.New(rand.NewPCG(op.Seed, 0))}
	se, err := registerServer(re, st, id, op.Service, ls.Addr().String(), nil)
	if err != nil {
		return nil, fmt.Errorf("sim: start crowded server: %w", err)
	}
	cr.server = se
	se.onClose = func() { _ = ls.Close() }
	go cr.accept(ls)
	return cr, nil
}

// accept serves connections until the listener is closed.
func (cr *Crowded) accept(ls net.Listener) {
	for {
		nc, err := ls.Accept()
		if err != nil {
			return
		}
		go cr.serveChannel(nc)
	}
}

// serveChannel serves the requests of a connection one after the other.
func (cr *Crowded) serveChannel(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	extra := ""
	for {
		rq, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, rq.Body); err != nil {
			return
		}
		time.Sleep(cr.op.Delay)
		if extra != "" {
			cr.re.Printf("%s sends an answer a second time before it answers %s", cr.ID, rq.Header.Get(headerRequestID))
			if _, err := io.WriteString(nc, extra); err != nil {
				return
			}
		}
		answer := cr.answer(rq)
		time.Sleep(cr.op.Delay)
		if _, err := io.WriteString(nc, answer); err != nil {
			return
		}
		extra = ""
		if cr.comesTwice() {
			extra = answer
		}
	}
}

// SetExtraShare sets the share of the answers that come a second time.
func (cr *Crowded) SetExtraShare(share float64) {
	cr.cmu.Lock()
	defer cr.cmu.Unlock()
	cr.extraShare = share
}

// comesTwice decides whether an answer comes a second time.
func (cr *Crowded) comesTwice() bool {
	cr.cmu.Lock()
	defer cr.cmu.Unlock()
	return cr.random.Float64() < cr.extraShare
}

// enter counts a request, unless the server is full.
func (cr *Crowded) enter() bool {
	cr.cmu.Lock()
	defer cr.cmu.Unlock()
	if cr.inside >= cr.op.Slots+cr.op.Queue {
		return false
	}
	cr.inside++
	return true
}

// leave ends the count of a request.
func (cr *Crowded) leave() {
	cr.cmu.Lock()
	defer cr.cmu.Unlock()
	cr.inside--
}

// answer runs a request and returns its answer, or rejects it without running it.
func (cr *Crowded) answer(rq *http.Request) string {
	id := rq.Header.Get(headerRequestID)
	if expected := rq.Header.Get(headerExpect); expected != "" && expected != cr.ID {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerRequestID, id, headerInstance, cr.ID)
	}
	if !cr.enter() {
		cr.re.Printf("%s is full and does not run %s", cr.ID, id)
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerRequestID, id, headerNotRun)
	}
	defer cr.leave()
	cr.slots <- struct{}{}
	defer func() { <-cr.slots }()
	cr.arrived(rq, "")
	time.Sleep(cr.op.Work)
	body := "done " + id + "\n"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s.%s\r\nContent-Length: %d\r\n\r\n%s", headerRequestID, id, headerSeal, cr.ID, id, len(body), body)
}

// WaitIdle waits until the server runs nothing.
func (cr *Crowded) WaitIdle(ctx context.Context) error {
	return Await(ctx, func() bool {
		cr.cmu.Lock()
		defer cr.cmu.Unlock()
		return cr.inside == 0
	})
}
