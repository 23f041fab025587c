package sim

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of requests and answers.
const (
	headerRequestID = "X-Bambooladder-Request-Id"
	headerSeal      = "X-Bambooladder-Server-Seal"
	headerExpect    = "X-Bambooladder-Expect-Instance"
	headerInstance  = "X-Bambooladder-Instance-Id"
	headerNotRun    = "X-Bambooladder-Not-Executed"
	headerLeaving   = "Server-Leaving"
	headerType      = "Content-Type"
)

// States of a server in its record and its report.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// zoneName is the only availability zone.
const zoneName = "zone-1"

// heartbeat is how often a server writes its record.
const heartbeat = 1200 * time.Millisecond

// Arrival is a request that a server has begun to run.
type Arrival struct {
	Server, Request, Version string
	At                       time.Time
}

// server is what plain servers and engines share: the record in the store and the log of arrivals.
type server struct {
	// ID is the server's ID, Address its IP:port.
	ID, Address string

	re      *Record
	store   *Store
	service string
	born    int64
	stop    context.CancelFunc
	// onClose ends the listener and its connections.
	onClose func()
	leaving atomic.Bool
	// describe adds fields to the record.
	describe func(fields map[string]any)

	mu       sync.Mutex
	seq      int
	arrivals []Arrival
}

// startServer listens on a free port of an IP address and writes the server's record from now on.
func startServer(re *Record, st *Store, id, service, ip string, handler http.Handler, describe func(fields map[string]any)) (*server, error) {
	ls, err := listen(ip + ":0")
	if err != nil {
		return nil, err
	}
	hs := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = hs.Serve(ls) }()
	se, err := registerServer(re, st, id, service, ls.Addr().String(), describe)
	if err != nil {
		return nil, err
	}
	se.onClose = func() { _ = hs.Close() }
	return se, nil
}

// registerServer writes the record of a server from now on.
func registerServer(re *Record, st *Store, id, service, address string, describe func(fields map[string]any)) (*server, error) {
	ctx, cancel := context.WithCancel(context.Background())
	se := &server{
		ID: id, Address: address, re: re, store: st, service: service, born: time.Now().UnixMilli(), stop: cancel, describe: describe,
	}
	if err := se.writeRecord(); err != nil {
		cancel()
		return nil, err
	}
	go se.beat(ctx)
	return se, nil
}

// beat writes the record periodically until the context ends.
func (se *server) beat(ctx context.Context) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if err := se.writeRecord(); err != nil {
			se.re.Printf("%s: %v", se.ID, err)
		}
	}
}

// writeRecord writes the server's record.
func (se *server) writeRecord() error {
	se.mu.Lock()
	se.seq++
	seq := se.seq
	se.mu.Unlock()
	state := stateReady
	if se.leaving.Load() {
		state = stateDraining
	}
	fields := map[string]any{
		"service": se.service, "address": se.Address, "zone": zoneName, "version": "v1", "slots": 6, "state": state,
		"cold_left_ms": 0, "seq": seq, "born": se.born,
	}
	if se.describe != nil {
		se.describe(fields)
	}
	_, err := se.store.PutJSON(TopicServers, se.ID, fields)
	return err
}

// Leave makes the server say that it is leaving, in its answers and in its record, and returns when the
// store has accepted the record.
func (se *server) Leave() (time.Time, error) {
	se.leaving.Store(true)
	se.re.Printf("%s is leaving: its answers say so from now on", se.ID)
	if err := se.writeRecord(); err != nil {
		return time.Time{}, err
	}
	se.re.Printf("%s: the store has accepted the record that says draining", se.ID)
	return time.Now(), nil
}

// Exit ends the server and removes its record.
func (se *server) Exit() {
	se.stop()
	se.onClose()
	se.store.Put(TopicServers, se.ID, nil)
	se.re.Printf("%s has exited", se.ID)
}

// Close ends the server.
func (se *server) Close() {
	se.stop()
	se.onClose()
}

// expects reports whether a request is meant for this server, and answers it with 421 if not.
func (se *server) expects(wr http.ResponseWriter, rq *http.Request) bool {
	if se.leaving.Load() {
		wr.Header().Set(headerLeaving, "1")
	}
	if expected := rq.Header.Get(headerExpect); expected != "" && expected != se.ID {
		wr.Header().Set(headerInstance, se.ID)
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

// arrived reads the body of a request and records that the server begins to run it.
func (se *server) arrived(rq *http.Request, version string) {
	// A body that breaks off ends the request's context.
	_, _ = io.Copy(io.Discard, rq.Body)
	ar := Arrival{Server: se.ID, Request: rq.Header.Get(headerRequestID), Version: version, At: time.Now()}
	se.mu.Lock()
	se.arrivals = append(se.arrivals, ar)
	se.mu.Unlock()
	se.re.Printf("%s runs %s %s", se.ID, ar.Request, version)
}

// Arrivals returns the requests that the server has begun to run.
func (se *server) Arrivals() []Arrival {
	se.mu.Lock()
	defer se.mu.Unlock()
	return append([]Arrival(nil), se.arrivals...)
}

// seal sets the headers by which an answer is the server's own.
func (se *server) seal(wr http.ResponseWriter, rq *http.Request) {
	wr.Header().Set(headerRequestID, rq.Header.Get(headerRequestID))
	wr.Header().Set(headerSeal, "seal."+se.ID+"."+rq.Header.Get(headerRequestID))
}

// Plain is a server of a plain service. It is created by StartPlain.
type Plain struct {
	*server
	// work is how long a request runs.
	work time.Duration
}

// StartPlain starts a plain server that is known to the store.
func StartPlain(re *Record, st *Store, id, service, ip string, work time.Duration) (*Plain, error) {
	pl := &Plain{work: work}
	se, err := startServer(re, st, id, service, ip, http.HandlerFunc(pl.serve), nil)
	if err != nil {
		return nil, fmt.Errorf("sim: start plain server: %w", err)
	}
	pl.server = se
	return pl, nil
}

// serve runs one request.
func (pl *Plain) serve(wr http.ResponseWriter, rq *http.Request) {
	if !pl.expects(wr, rq) {
		return
	}
	pl.arrived(rq, "")
	select {
	case <-time.After(pl.work):
	case <-rq.Context().Done():
		pl.re.Printf("%s drops %s: its connection has ended", pl.ID, rq.Header.Get(headerRequestID))
		return
	}
	body := "done " + rq.Header.Get(headerRequestID) + "\n"
	pl.seal(wr, rq)
	wr.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = wr.Write([]byte(body))
	pl.re.Printf("%s has answered %s", pl.ID, rq.Header.Get(headerRequestID))
}
