package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Answer is what a consumer saw of one request.
type Answer struct {
	Request, Model string
	SentAt         time.Time
	FirstAt, EndAt time.Time
	Status         int
	Events         int
	// Served is true if a success came with the proof and all its events.
	Served bool
	Note   string
}

// Callers sends requests and keeps what came of them.
type Callers struct {
	sy     *System
	route  string
	wait   time.Duration
	number atomic.Int64
	mu     sync.Mutex
	list   []*Answer
	wg     sync.WaitGroup
}

// All returns all requests that have ended.
func (cs *Callers) All() []*Answer {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return append([]*Answer(nil), cs.list...)
}

// Steady sends requests at a rate until the context ends.
func (cs *Callers) Steady(ctx context.Context, perSecond float64, model func(ix int) string, tokens, events, deadline int) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for ix := 0; ; ix++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		cs.wg.Add(1)
		go func() {
			defer cs.wg.Done()
			cs.send(model(ix), tokens, events, deadline)
		}()
	}
}

// send sends one request on a new channel and reads its answer.
func (cs *Callers) send(model string, tokens, events, deadline int) {
	an := &Answer{Request: fmt.Sprintf("9c41d07b%08x", cs.number.Add(1)), Model: model, SentAt: time.Now()}
	cs.exchange(an, tokens, events, deadline)
	an.EndAt = time.Now()
	cs.sy.Record.Add("consumer: %s %s status %d events %d of %d served %v, first after %d ms, took %d ms %s", an.Request, model, an.Status, an.Events, events,
		an.Served, max(0, an.FirstAt.Sub(an.SentAt).Milliseconds()), an.EndAt.Sub(an.SentAt).Milliseconds(), an.Note)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.list = append(cs.list, an)
}

func (cs *Callers) exchange(an *Answer, tokens, events, deadline int) {
	address := cs.sy.vip.Pick()
	cs.sy.Record.Add("consumer: sends %s %s to %s", an.Request, an.Model, address)
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		an.Note = "no channel"
		return
	}
	defer func() { _ = nc.Close() }()
	end := an.SentAt.Add(time.Duration(deadline) * time.Millisecond)
	_ = nc.SetDeadline(end)
	body := "prompt of " + an.Request
	if _, err := fmt.Fprintf(nc, "POST /%s/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Bambooladder-Request-Id: %s\r\nX-Bambooladder-Model: %s\r\n"+
		"X-Bambooladder-Token-Count: %d,%d\r\nX-Bambooladder-Prompt-Prefix: %s:%d\r\nX-Bambooladder-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		cs.route, an.Request, an.Model, tokens, events, an.Request, tokens, deadline, len(body), body); err != nil {
		an.Note = "closed"
		return
	}
	cs.patience(nc, end)
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		an.Note = "no answer: " + err.Error()
		return
	}
	an.Status = resp.StatusCode
	rd := bufio.NewReader(resp.Body)
	for {
		line, err := rd.ReadString('\n')
		if strings.HasPrefix(line, "id: ") {
			number, _ := strconv.Atoi(strings.TrimSpace(line[4:]))
			if an.Events == 0 {
				an.FirstAt = time.Now()
			}
			if number == an.Events+1 {
				an.Events = number
			}
			cs.patience(nc, end)
		}
		if err != nil {
			an.Served = err == io.EOF && an.Status == http.StatusOK && an.Events == events && resp.Header.Get("X-Bambooladder-Server-Seal") != ""
			if err != io.EOF {
				an.Note = "cut: " + err.Error()
			}
			return
		}
	}
}

// patience bounds the wait for the next event: consumers abandon a stream after a gap.
func (cs *Callers) patience(nc net.Conn, end time.Time) {
	limit := time.Now().Add(cs.wait)
	if limit.After(end) {
		limit = end
	}
	_ = nc.SetDeadline(limit)
}
