package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatPeriod is how often a runner writes its record.
const heartbeatPeriod = 1200 * time.Millisecond

// run is a request that a runner has begun to run.
type run struct {
	at                            time.Time
	server, request, tenant, body string
	tokens                        int
	// authorization is the key that the runner was shown, if any.
	authorization string
	// crashed is true if the request ended the runner.
	crashed bool
}

// runs collects what all runners have run.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (rs *runs) add(ru run) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.list = append(rs.list, ru)
}

func (rs *runs) all() []run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return append([]run(nil), rs.list...)
}

// runner is a backend server of a plain service, or an engine that only reports.
type runner struct {
	id, service, address, zone string
	engine                     bool
	work                       time.Duration
	// deadly is the body of the request that ends each runner that begins to run it; back is after what time the runner is there again.
	deadly string
	back   time.Duration
	st     *store
	rs     *runs

	mu    sync.Mutex
	ls    net.Listener
	conns map[net.Conn]bool
	born  int64
	seq   int
	up    bool
}

// start begins the first run of a runner at a host on a free port.
func (rn *runner) start(host string) error {
	port, err := freePort(host)
	if err != nil {
		return err
	}
	ls, err := net.Listen("tcp", host+":"+strconv.Itoa(port))
	if err != nil {
		return err
	}
	rn.address = ls.Addr().String()
	rn.begin(ls)
	go func() {
		for {
			time.Sleep(heartbeatPeriod)
			rn.mu.Lock()
			if rn.up {
				rn.write()
			}
			rn.mu.Unlock()
		}
	}()
	return nil
}

// begin begins a run.
func (rn *runner) begin(ls net.Listener) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.ls, rn.conns, rn.up = ls, map[net.Conn]bool{}, true
	rn.born, rn.seq = max(rn.born+1, time.Now().UnixMilli()), 0
	rn.write()
	go rn.accept(ls)
}

// write writes the runner's record. The lock must be held.
func (rn *runner) write() {
	rn.seq++
	fields := map[string]any{
		"service": rn.service, "address": rn.address, "zone": rn.zone, "version": "1", "slots": 64, "state": "ready", "cold_left_ms": 0,
		"seq": rn.seq, "born": rn.born,
	}
	if rn.engine {
		fields["stage"], fields["models"] = "both", rn.models()
	}
	rn.st.put(serversTopic, rn.id, fields)
}

func (rn *runner) models() []any {
	return []any{map[string]any{"name": modelName, "version": 1, "adapters": []string{}}}
}

// crash ends the run as a crash does: the port is closed, all channels are reset. The runner is there again after a while, with the
// same ID and a new start.
func (rn *runner) crash() {
	rn.mu.Lock()
	if !rn.up {
		rn.mu.Unlock()
		return
	}
	rn.up = false
	_ = rn.ls.Close()
	for nc := range rn.conns {
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = nc.Close()
	}
	rn.mu.Unlock()
	time.AfterFunc(rn.back, func() {
		for {
			ls, err := net.Listen("tcp", rn.address)
			if err == nil {
				rn.begin(ls)
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

func (rn *runner) accept(ls net.Listener) {
	for {
		nc, err := ls.Accept()
		if err != nil {
			return
		}
		rn.mu.Lock()
		if rn.ls != ls || !rn.up {
			rn.mu.Unlock()
			_ = nc.Close()
			return
		}
		rn.conns[nc] = true
		rn.mu.Unlock()
		go rn.serve(nc)
	}
}

// serve answers the requests of one channel.
func (rn *runner) serve(nc net.Conn) {
	defer nc.Close()
	rd := bufio.NewReader(nc)
	for {
		rq, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		body, err := io.ReadAll(rq.Body)
		if err != nil {
			return
		}
		if _, err := io.WriteString(nc, rn.answer(rq, string(body))); err != nil {
			return
		}
	}
}

// answer runs a request and returns the answer's bytes.
func (rn *runner) answer(rq *http.Request, body string) string {
	id := rq.Header.Get("X-Bambooladder-Request-Id")
	if expected := rq.Header.Get("X-Bambooladder-Expect-Instance"); expected != "" && expected != rn.id {
		return whole(421, "", "X-Bambooladder-Request-Id", id, "X-Bambooladder-Instance-Id", rn.id, "X-Bambooladder-Not-Executed", "1")
	}
	if rq.URL.Path == "/bambooladder/report" {
		return whole(200, rn.report(), "Content-Type", "application/json")
	}
	if rq.URL.Path == "/health" {
		return whole(200, "", "X-Bambooladder-Instance-Id", rn.id)
	}
	if rn.engine || id == "" {
		return whole(400, "", "X-Bambooladder-Request-Id", id, "X-Bambooladder-Not-Executed", "1")
	}
	ru := run{at: time.Now(), server: rn.id, request: id, tenant: rq.Header.Get("X-Bambooladder-Tenant"), body: body, tokens: tokensOf(rq.Header), authorization: rq.Header.Get("Authorization")}
	if rn.deadly != "" && body == rn.deadly {
		ru.crashed = true
		rn.rs.add(ru)
		rn.crash()
		return ""
	}
	rn.rs.add(ru)
	time.Sleep(rn.work)
	return whole(200, "done\n", "X-Bambooladder-Request-Id", id, "X-Bambooladder-Server-Seal", "seal."+rn.id+"."+id)
}

// report is what a runner says of itself.
func (rn *runner) report() string {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return mustJSON(map[string]any{
		"stage": "both", "models": rn.models(), "coming": []string{}, "busy": false, "seq": 0, "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 100000,
		"handles": 0, "state": "ready", "born": rn.born, "runs": []any{}, "at_hand": map[string]any{"in_memory": []string{modelName}, "on_disk": []string{modelName}},
	})
}

// tokensOf returns what a request counts as.
func tokensOf(hd http.Header) int {
	text := hd.Get("X-Bambooladder-Token-Count")
	if text == "" {
		return plainTokens
	}
	prompt, output := 0, 0
	_, _ = fmt.Sscanf(text, "%d,%d", &prompt, &output)
	return prompt + output
}

// whole returns an answer with a length.
func whole(status int, body string, headers ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for ix := 0; ix+1 < len(headers); ix += 2 {
		text += headers[ix] + ": " + headers[ix+1] + "\r\n"
	}
	return text + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}
