package proofs

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/platform/site"
)

const (
	// lateCallTime is how long calls run in the test of late requests, lateEventPeriod the time between two of the lateEvents
	// of its streams.
	lateCallTime    = 5 * time.Second
	lateEventPeriod = 50 * time.Millisecond
	lateEvents      = 100
	lateTimeout     = 20 * time.Second
	// lateWarmUps is the number of calls, and of streams, that are served before the stop.
	lateWarmUps = 4
	// lateHeadAt is when the heads of requests come at the latest after SIGTERM: new connections are taken until 2.5 s.
	lateHeadAt = 2 * time.Second
)

// publishLate writes routes that allow requests to outlast the grace time.
func (ps *platformSite) publishLate() error {
	return ps.lo.PutJSON(site.OperatorsTopic, "config", map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{
				"name": "r-advice", "host": siteHost, "path_prefix": "/advice/", "kind": "stream", "timeout_ms": lateTimeout.Milliseconds(),
				"target_latency_ms": 1000, "priority": 1, "service": siteStreamService, "max_attempts": 3, "sticky": true, "gap_aim_ms": 400,
			},
			map[string]any{
				"name": "r-orders", "host": siteHost, "path_prefix": "/orders/", "kind": "unsafe", "timeout_ms": lateTimeout.Milliseconds(),
				"target_latency_ms": 300, "priority": 2, "service": siteCallService, "max_attempts": 2,
			},
		},
		"services": []any{
			map[string]any{"name": siteStreamService, "health_path": "/health", "max_conns": 96, "engine": map[string]any{
				"slots": 32, "kv_capacity": 32 * siteMemoryTokens, "adapter_slots": siteAdapterSlots,
				"models": []any{map[string]any{"name": siteModel, "weights_mb": 1000.0, "load_time_s": 0.2, "adapters": 100, "adapter_mb": 10.0}},
			}},
			map[string]any{"name": siteCallService, "health_path": "/health", "max_conns": 96},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// startLate starts an engine, a plain server and an entry node.
func (ps *platformSite) startLate() {
	for _, err := range []error{
		ps.publishLate(),
		ps.startServer(siteHostEngine, site.Options{
			ID: "i-engine", Service: siteStreamService, Software: siteSoftware[0], Model: siteModel, Slots: 32, Memory: 32 * siteMemoryTokens,
			AdapterSlots: siteAdapterSlots, LoadTime: siteLoadTime, Work: lateEventPeriod,
		}),
		ps.startServer(siteHostPlain, site.Options{ID: "i-orders", Service: siteCallService, Software: siteSoftware[0], Slots: 32, Work: lateCallTime}),
	} {
		if err != nil {
			ps.t.Fatal(err)
		}
	}
	ps.startEntries(1)
	for number := 0; ; number++ {
		re := ps.sendLate(fmt.Sprintf("first-%d", number), 1, 0)
		if re.whole && re.status == http.StatusOK {
			return
		}
		if number > int(siteReadyMax/soakPollPeriod) {
			ps.t.Fatalf("the engine serves nothing: status %d, %v", re.status, re.err)
		}
		time.Sleep(soakPollPeriod)
	}
}

// sendLate sends a stream with a number of events, or a call if that is zero, whose last byte comes some time after its head, on
// a connection of its own.
func (ps *platformSite) sendLate(id string, events int, bodyTakes time.Duration) siteReply {
	sq := &siteRequest{id: id, path: siteCallPath, deadline: lateTimeout, events: events}
	if events > 0 {
		sq.path, sq.adapter = siteStreamPath, "a1"
	}
	body, fill := io.Pipe()
	go func() {
		_, _ = io.WriteString(fill, id)
		time.Sleep(bodyTakes)
		_ = fill.Close()
	}()
	re := siteReply{id: id}
	rq, err := http.NewRequest(http.MethodPost, "http://"+ps.address(siteHostEntry, sitePortFront)+sq.path, body)
	if err != nil {
		re.err = err
		return re
	}
	sq.setHeaders(rq)
	cl := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true}}
	re.read(cl, rq, func(rd *bufio.Reader) error {
		_, err := io.Copy(io.Discard, rd)
		return err
	})
	return re
}

// sendAllLate sends calls and streams whose last bytes come at the given times from now.
func (ps *platformSite) sendAllLate(times []time.Duration) []siteReply {
	wg, mu, list := sync.WaitGroup{}, sync.Mutex{}, []siteReply(nil)
	for ix, at := range times {
		for _, events := range []int{0, lateEvents} {
			wg.Go(func() {
				head := min(at, lateHeadAt)
				time.Sleep(head)
				re := ps.sendLate(fmt.Sprintf("late-%d-%d-%d", ix, at.Milliseconds(), events), events, at-head)
				mu.Lock()
				defer mu.Unlock()
				list = append(list, re)
			})
		}
	}
	wg.Wait()
	return list
}

// Processes that get SIGTERM took requests later in the grace time and cut them at its end.
func TestPlatformStopCutsNoLateRequest(t *testing.T) {
	ps := newPlatformSite(t)
	ps.startLate()
	warm := ps.sendAllLate(make([]time.Duration, lateWarmUps))
	for _, re := range warm {
		if !re.whole || re.status != http.StatusOK {
			t.Fatalf("%s got status %d, %v, before the stop", re.id, re.status, re.err)
		}
	}
	ps.entries[0].current().tell(syscall.SIGTERM)
	replies := ps.sendAllLate([]time.Duration{300 * time.Millisecond, 3200 * time.Millisecond, 4 * time.Second, 5 * time.Second, 6 * time.Second})
	if !ps.entries[0].current().awaitEnd(siteGrace + siteStopSlack) {
		t.Error("the entry node does not end")
	}
	runs := map[string]int{}
	for _, ru := range ps.runs.All() {
		runs[ru.Request]++
	}
	log, err := os.ReadFile(ps.entries[0].current().log)
	if err != nil {
		t.Fatal(err)
	}
	for _, re := range replies {
		served, refused := re.whole && re.status == http.StatusOK, re.whole && re.status == http.StatusServiceUnavailable
		if !served && (!refused || runs[re.id] > 0) {
			t.Errorf("%s got status %d, %v, and ran %d times", re.id, re.status, re.err, runs[re.id])
		}
		if !strings.Contains(string(log), "request="+re.id) {
			t.Errorf("no line of the log names %s", re.id)
		}
	}
	for _, problem := range ps.problems {
		t.Error(problem)
	}
}
