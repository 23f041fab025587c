package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// plainService is the service of the plain runners.
const plainService = "wuno96b"

// Plain is a runner of a plain service.
type Plain struct {
	ID, Zone, Address string
	Work              time.Duration
	store             *Store
	record            *Record

	mu   sync.Mutex
	seq  int
	born int64
	runs map[string]int
}

// Start makes the runner register itself and serve.
func (pl *Plain) Start() error {
	ls, err := net.Listen("tcp", pl.Address)
	if err != nil {
		return err
	}
	pl.born, pl.runs = time.Now().UnixMilli(), map[string]int{}
	go func() {
		for ; ; time.Sleep(heartbeatPeriod) {
			pl.mu.Lock()
			pl.seq++
			entry := map[string]any{
				"service": plainService, "address": pl.Address, "zone": pl.Zone, "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0,
				"seq": pl.seq, "born": pl.born,
			}
			pl.mu.Unlock()
			pl.store.Put("keyed.servers", pl.ID, entry)
		}
	}()
	hs := &http.Server{Handler: http.HandlerFunc(pl.serve)}
	go func() { _ = hs.Serve(ls) }()
	return nil
}

func (pl *Plain) serve(wr http.ResponseWriter, rq *http.Request) {
	id := rq.Header.Get("X-Bambooladder-Request-Id")
	wr.Header().Set("X-Bambooladder-Request-Id", id)
	if want := rq.Header.Get("X-Bambooladder-Expect-Instance"); want != "" && want != pl.ID {
		wr.Header().Set("X-Bambooladder-Instance-Id", pl.ID)
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	data, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	pl.mu.Lock()
	pl.runs[id]++
	pl.mu.Unlock()
	pl.record.Add("runner %s runs %s %s %s, %d bytes, headers %v", pl.ID, rq.Method, rq.RequestURI, id, len(data), rq.Header)
	time.Sleep(pl.Work)
	wr.Header().Set("X-Bambooladder-Server-Seal", "seal."+pl.ID+"."+id)
	_, _ = fmt.Fprintf(wr, "done %s %d\n", id, len(data))
}
