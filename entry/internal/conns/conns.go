package conns

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const pollPeriod = 20 * time.Millisecond

// Limits bounds how long a server that stops waits for requests.
type Limits struct {
	// Idle is how long a connection may wait for its next request. An answer that began before the stop did not tell that
	// it is the last one.
	Idle time.Duration
	// Unread is how long after it was opened the first request of a connection is waited for, zero for as long as the
	// server's time to read a head.
	Unread time.Duration
}

// Set holds the open connections of a server.
type Set struct {
	lg     zerolog.Logger
	limits Limits

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewSet returns a set without connections.
func NewSet(limits Limits, lg zerolog.Logger) *Set {
	return &Set{lg: lg, limits: limits, conns: map[*conn]struct{}{}}
}

// Counts has the number of connections without a request yet, between two requests and with a request.
type Counts struct {
	Unread, Idle, Active int
}

// All returns the number of connections.
func (cs Counts) All() int { return cs.Unread + cs.Idle + cs.Active }

// conn is a connection that a server has accepted.
type conn struct {
	net.Conn
	openedAt time.Time

	mu    sync.Mutex
	state http.ConnState
	// idleSince is when the connection became idle. heard is true once a part of the next request has been read.
	idleSince time.Time
	heard     bool
}

// Read reads from the connection.
func (co *conn) Read(data []byte) (int, error) {
	count, err := co.Conn.Read(data)
	if count > 0 {
		co.mu.Lock()
		co.heard = true
		co.mu.Unlock()
	}
	return count, err
}

// NetConn returns the connection below, as that of package tls does.
func (co *conn) NetConn() net.Conn { return co.Conn }

// enter records a state of the connection.
func (co *conn) enter(state http.ConnState) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.state = state
	if state == http.StateIdle {
		co.idleSince, co.heard = time.Now(), false
		// What the server answers by itself, as to a malformed request, has no handler that sets another one.
		_ = co.SetWriteDeadline(time.Time{})
	}
}

// endIdle makes the connection end by itself if it has been idle for a time, and reports for how long it has been. It
// sets a read deadline, which a server that has just read a part of a request replaces by another one.
func (co *conn) endIdle(now time.Time, idleMax time.Duration) (time.Duration, bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.state != http.StateIdle || co.heard || now.Sub(co.idleSince) < idleMax {
		return 0, false
	}
	// A connection that has ended meanwhile needs no deadline.
	_ = co.SetReadDeadline(now)
	return now.Sub(co.idleSince), true
}

// listener adds each connection that it accepts to a set.
type listener struct {
	net.Listener
	se *Set
}

// Accept waits for a connection.
func (ls *listener) Accept() (net.Conn, error) {
	nc, err := ls.Listener.Accept()
	if err != nil {
		return nil, err
	}
	co := &conn{Conn: nc, openedAt: time.Now(), state: http.StateNew}
	ls.se.mu.Lock()
	defer ls.se.mu.Unlock()
	ls.se.conns[co] = struct{}{}
	return co, nil
}

// Listener returns a listener whose connections the set follows, for a server whose ConnState is the set's.
func (se *Set) Listener(ls net.Listener) net.Listener { return &listener{Listener: ls, se: se} }

// ConnState records a state of a connection.
func (se *Set) ConnState(nc net.Conn, state http.ConnState) {
	co, ok := nc.(*conn)
	if !ok {
		return
	}
	co.enter(state)
	if state == http.StateClosed || state == http.StateHijacked {
		se.mu.Lock()
		defer se.mu.Unlock()
		delete(se.conns, co)
	}
}

// Drain waits until every connection has ended, or the context has. It ends the idle ones. Those without a request are waited
// for as the limits say, and the others until their request has ended. It returns what is left.
func (se *Set) Drain(ctx context.Context) Counts {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		se.endIdle(time.Now())
		if left := se.Counts(); !se.waits(left, time.Now()) || ctx.Err() != nil {
			return left
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// waits reports whether a drain waits for any of the connections that are left.
func (se *Set) waits(left Counts, now time.Time) bool {
	if left.Idle+left.Active > 0 || left.Unread == 0 || se.limits.Unread == 0 {
		return left.All() > 0
	}
	se.mu.Lock()
	defer se.mu.Unlock()
	for co := range se.conns {
		if now.Sub(co.openedAt) < se.limits.Unread {
			return true
		}
	}
	return false
}

// endIdle makes idle connections end by themselves.
func (se *Set) endIdle(now time.Time) {
	se.mu.Lock()
	defer se.mu.Unlock()
	for co := range se.conns {
		if idle, ended := co.endIdle(now, se.limits.Idle); ended {
			se.lg.Debug().Stringer("remote", co.RemoteAddr()).Dur("idle", idle).Msg("idle_connection_ended")
		}
	}
}

// Counts returns the numbers of connections.
func (se *Set) Counts() Counts {
	se.mu.Lock()
	defer se.mu.Unlock()
	cs := Counts{}
	for co := range se.conns {
		co.mu.Lock()
		switch co.state {
		case http.StateNew:
			cs.Unread++
		case http.StateIdle:
			cs.Idle++
		case http.StateActive, http.StateHijacked, http.StateClosed:
			cs.Active++
		}
		co.mu.Unlock()
	}
	return cs
}
