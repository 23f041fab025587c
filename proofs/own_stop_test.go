package proofs

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/admin"
)

const (
	// ownDrainGrace is drain_grace_ms of the entry nodes of a simulation.
	ownDrainGrace = 500 * time.Millisecond
	// ownPatience is the timeout of requests that come late in a stop.
	ownPatience = 15 * time.Second
	// ownAtOnce bounds a chat that goes to another agent at once, the load of its adapter there included.
	ownAtOnce = 1400 * time.Millisecond
	// ownBodyPause is how long a body that comes slowly stands still midway.
	ownBodyPause = 1500 * time.Millisecond
)

// keptConn is a connection of a caller to an entry node, on which the test writes requests by itself.
type keptConn struct {
	net.Conn
	rd *bufio.Reader
}

// dialEntry opens a connection to the first entry node.
func (sm *simulation) dialEntry() *keptConn {
	co, err := sm.net.forHost("caller").DialContext(sm.ctx, "tcp", entryName(0)+":1")
	if err != nil {
		sm.tb.Fatal(err)
	}
	return &keptConn{Conn: co, rd: bufio.NewReader(co)}
}

// ownHead returns the head of a request with a body.
func ownHead(path, body string, lines ...string) string {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n"+
		"Bambooladder-Timeout-Ms: %d\r\nContent-Length: %d\r\n", path, callerToken, ownPatience.Milliseconds(), len(body))
	for _, line := range lines {
		head += line + "\r\n"
	}
	return head + "\r\n"
}

// ownChat returns the head and the body of a chat.
func ownChat(tokens int, stream bool) (string, string) {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, ownModel, stream, tokens, ownPrompt)
	return ownHead("/v1/chat/completions", body), body
}

// ownCall returns the head and the body of a call with a key.
func ownCall() (string, string) {
	body := `{"batch":1}`
	return ownHead("/services/ledger/releases", body, "Idempotency-Key: "+newIdempotencyKey()), body
}

// write writes a part of a request. A connection that has ended shows when the answer is read.
func (kc *keptConn) write(text string) { _, _ = io.WriteString(kc.Conn, text) }

// read reads an answer.
func (kc *keptConn) read() (reply, bool) {
	resp, err := http.ReadResponse(kc.rd, nil)
	if err != nil {
		return reply{err: err}, false
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}, resp.Close
}

// ownServed reports whether a chat was answered whole, or a call ran.
func ownServed(re reply) bool {
	_, complete := re.text()
	return complete || re.err == nil && re.status == http.StatusCreated
}

// runOwnCase runs a case of a test on a deployment of its own, so that each case that fails shows.
func runOwnCase(t *testing.T, name string, op simulationOptions, test func(t *testing.T, sm *simulation)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { runSimulation(t, op, test) })
}

// stopInBackground stops a program and returns what is closed once it has stopped.
func (sm *simulation) stopInBackground(name string) chan struct{} {
	stopped := make(chan struct{})
	go func() {
		sm.stop(name)
		close(stopped)
	}()
	return stopped
}

// ownRequests are the requests that come late in a stop. A slow one stands still in the middle of its body.
var ownRequests = map[string]struct {
	slow bool
	text func() (string, string)
}{
	"stream":                           {text: func() (string, string) { return ownChat(20, true) }},
	"chat":                             {text: func() (string, string) { return ownChat(20, false) }},
	"call with a key":                  {text: ownCall},
	"call whose body comes slowly":     {slow: true, text: ownCall},
	"stream that lasts beyond a while": {text: func() (string, string) { return ownChat(900, true) }},
}

// A caller or a balancer has opened a connection before the stop of an entry node, and its first request comes within the
// stop. A request that is read and dropped gets no answer, although the node has ten minutes to serve it.
func TestOwnStopServesFirstRequestsThatComeLate(t *testing.T) {
	for name, rq := range ownRequests {
		t.Run(name, func(t *testing.T) {
			for _, after := range []time.Duration{
				0, ownDrainGrace - 10*time.Millisecond, ownDrainGrace, ownDrainGrace + time.Millisecond, ownDrainGrace + 100*time.Millisecond, 2 * time.Second, 4 * time.Second,
			} {
				runOwnCase(t, after.String(), smallSimulation(), func(t *testing.T, sm *simulation) {
					kc := sm.dialEntry()
					defer func() { _ = kc.Close() }()
					stopped := sm.stopInBackground(entryName(0))
					time.Sleep(after)
					head, body := rq.text()
					half := 0
					if rq.slow {
						half = len(body) / 2
						kc.write(head + body[:half])
						time.Sleep(ownBodyPause)
						head = ""
					}
					kc.write(head + body[half:])
					if re, _ := kc.read(); !ownServed(re) {
						t.Errorf("%v after the SIGTERM: status %d, error %v, %.100q, want a whole answer", after, re.status, re.err, re.body)
					}
					<-stopped
				})
			}
		})
	}
}

// The head of the next request on a kept connection comes in two parts while the entry node begins to close idle
// connections. A connection counts as idle until a head has been read.
func TestOwnStopReadsTheRestOfAHead(t *testing.T) {
	for _, begins := range []time.Duration{ownDrainGrace - 400*time.Millisecond, ownDrainGrace - 20*time.Millisecond, ownDrainGrace - 2*time.Millisecond} {
		runOwnCase(t, begins.String(), smallSimulation(), func(t *testing.T, sm *simulation) {
			kc := sm.dialEntry()
			defer func() { _ = kc.Close() }()
			head, body := ownChat(5, false)
			kc.write(head + body)
			if re, _ := kc.read(); !ownServed(re) {
				t.Fatalf("before the stop: status %d, error %v", re.status, re.err)
			}
			stopped := sm.stopInBackground(entryName(0))
			time.Sleep(begins)
			kc.write(head[:len(head)/2])
			time.Sleep(700 * time.Millisecond)
			kc.write(head[len(head)/2:] + body)
			if re, _ := kc.read(); !ownServed(re) {
				t.Errorf("begun %v after the SIGTERM: status %d, error %v, want a whole answer", begins, re.status, re.err)
			}
			<-stopped
		})
	}
}

// An answer has begun before the stop and so did not tell that it is the last one of its connection. The caller's next
// request is served, and its answer tells.
func TestOwnStopServesTheNextRequestAfterAnAnswerThatDidNotTell(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 300 * time.Millisecond} {
		runOwnCase(t, pause.String(), smallSimulation(), func(t *testing.T, sm *simulation) {
			kc := sm.dialEntry()
			defer func() { _ = kc.Close() }()
			head, body := ownChat(300, true)
			kc.write(head + body)
			time.Sleep(time.Second)
			stopped := sm.stopInBackground(entryName(0))
			if re, told := kc.read(); !ownServed(re) || told {
				t.Fatalf("the stream that began before the stop: status %d, error %v, told that it is the last answer %t", re.status, re.err, told)
			}
			time.Sleep(pause)
			head, body = ownCall()
			kc.write(head + body)
			re, told := kc.read()
			if !ownServed(re) || !told {
				t.Errorf("%v after the stream: status %d, error %v, told %t, want an answer that tells that it is the last one", pause, re.status, re.err, told)
			}
			<-stopped
		})
	}
}

// Requests cross the stop of an agent at any moment. One that its backend server has not got has not run, and its caller
// can be told so, or it is served by another one; the same call sent again after the agent has started again runs.
func TestOwnAgentStopLeavesNoCallOutcomeUnknown(t *testing.T) {
	const step, last = 500 * time.Microsecond, 20 * time.Millisecond
	for after := time.Duration(0); after <= last; after += step {
		op := smallSimulation()
		op.engines, op.serviceCallTime = 1, 100*time.Millisecond
		runOwnCase(t, after.String(), op, func(t *testing.T, sm *simulation) {
			key, body := newIdempotencyKey(), `{"batch":1}`
			done := make(chan reply, 1)
			go func() { done <- sm.postRelease("caller", entryName(0), key, body, ownPatience) }()
			time.Sleep(after)
			sm.stop("ledger")
			re := <-done
			if ran := sm.recordedRuns(body) > 0; re.err != nil || ran != (re.status == http.StatusCreated) || !ran && (re.outcome != "not_run" || re.header.Get("Retry-After") == "") {
				t.Errorf("the agent stopped after %v: status %d, error %v, outcome %q after %v, ran %t", after, re.status, re.err, re.outcome, re.took, ran)
			}
			sm.startAgent("ledger")
			sm.waitUntil("an answer to the call sent again", func() bool {
				return sm.postRelease("caller", entryName(0), key, body, ownPatience).status == http.StatusCreated
			})
			if runs := sm.recordedRuns(body); runs != 1 {
				t.Errorf("the agent stopped after %v: the call ran %d times, want once", after, runs)
			}
		})
	}
}

// Calls come all the time while an agent stops, ends and starts again: each one is answered, and truly.
func TestOwnAgentStopAnswersCallsThatComeThroughout(t *testing.T) {
	const running, period, through = 5 * time.Second, 30 * time.Millisecond, 9 * time.Second
	op := smallSimulation()
	op.engines, op.serviceCallTime, op.batchSize = 1, running, 400
	runSimulation(t, op, func(t *testing.T, sm *simulation) {
		replies := make(chan reply)
		count := int(through / period)
		for number := range count {
			go func() {
				time.Sleep(time.Duration(number) * period)
				re := sm.postRelease("caller", entryName(number%2), newIdempotencyKey(), fmt.Sprintf(`{"batch":%d}`, number), ownPatience)
				if ran := sm.recordedRuns(fmt.Sprintf(`{"batch":%d}`, number)); ran != 0 != (re.status == http.StatusCreated) || ran > 1 || ran == 0 && re.outcome != "not_run" {
					t.Errorf("call %d: status %d, error %v, outcome %q after %v, ran %d times", number, re.status, re.err, re.outcome, re.took, ran)
				}
				replies <- re
			}()
		}
		time.Sleep(time.Second)
		sm.stop("ledger")
		sm.startAgent("ledger")
		ran := 0
		for range count {
			if ownServed(<-replies) {
				ran++
			}
		}
		if ran < count/4 || ran > 3*count/4 {
			t.Errorf("%d of %d calls ran, want those before the stop and after the start", ran, count)
		}
	})
}

// Chats that cross the stop of an agent go to another one at once: they neither wait for the link that has ended nor take
// from the budget of retries.
func TestOwnAgentStopPassesChatsOnAtOnce(t *testing.T) {
	const step, last = 500 * time.Microsecond, 10 * time.Millisecond
	for after := time.Duration(0); after <= last; after += step {
		runOwnCase(t, after.String(), smallSimulation(), func(t *testing.T, sm *simulation) {
			for ix := range 2 * sm.op.engines {
				mustAnswer(t, sm.sendChat("caller", entryName(ix%2), ownModel, ownPrompt, 5, false, ownPatience), ownModel, ownPrompt, 5)
			}
			replies := make(chan reply, 8)
			for number := range cap(replies) {
				go func() {
					replies <- sm.sendChat("caller", entryName(number%2), ownModel, ownPrompt, 20, number%3 == 0, ownPatience)
				}()
			}
			time.Sleep(after)
			sm.stop(runnerName(0))
			for range cap(replies) {
				if re := <-replies; !ownServed(re) || re.took > ownAtOnce {
					t.Errorf("the agent stopped after %v: status %d, error %v, after %v, %.200q", after, re.status, re.err, re.took, re.body)
				}
			}
		})
	}
}

// Requests wait at an agent for their adapter to be loaded when it stops. Nothing runs there, so that the stop ends at
// once; what waits is refused before the link ends.
func TestOwnAgentStopRefusesWhatWaitsForALoad(t *testing.T) {
	op := smallSimulation()
	op.engines, op.entries = 1, 1
	runSimulation(t, op, func(t *testing.T, sm *simulation) {
		sm.store.SetSlowdown(100)
		replies := make(chan reply, 4)
		for range cap(replies) {
			go func() {
				replies <- sm.sendChat("caller", entryName(0), "shell@2", ownPrompt, 5, false, ownPatience)
			}()
		}
		const before, atOnce = time.Second, time.Second
		time.Sleep(before)
		sm.stop(runnerName(0))
		for range cap(replies) {
			re := <-replies
			if took := re.took - before; re.status != http.StatusServiceUnavailable || re.outcome != "not_run" || re.header.Get("Retry-After") == "" || took > atOnce {
				t.Errorf("status %d, error %v, outcome %q, %.200q %v after the stop began, want 503 at once", re.status, re.err, re.outcome, re.body, took)
			}
		}
	})
}

// An operator's change is under way when its entry node has no caller's request left. Whether it was accepted, the operator
// learns from an answer.
func TestOwnStopAnswersOperators(t *testing.T) {
	for _, after := range []time.Duration{0, ownDrainGrace / 2, ownDrainGrace - 10*time.Millisecond} {
		runOwnCase(t, after.String(), smallSimulation(), func(t *testing.T, sm *simulation) {
			sm.log.SetDelay(800 * time.Millisecond)
			stopped := sm.stopInBackground(entryName(0))
			time.Sleep(after)
			oc, status := sm.proposeChange(entryName(0), admin.Change{
				ID: "late", Edits: []admin.Edit{{Path: "models/late", Body: []byte(`{"description":"late"}`)}},
			})
			if status != http.StatusOK || oc.Kind != "accepted" {
				t.Errorf("a change %v after the SIGTERM: status %d, outcome %+v, want that it is accepted", after, status, oc)
			}
			<-stopped
		})
	}
}

// The answer to a call with a key is kept in the log by the node that got it. A node that stops right after the call keeps
// it too, as its agent may stop next.
func TestOwnStopKeepsTheAnswersOfCalls(t *testing.T) {
	const before, step, cases = 40 * time.Millisecond, 500 * time.Microsecond, 80
	for number := range cases {
		after := ownDrainGrace - before + time.Duration(number)*step
		op := smallSimulation()
		op.engines = 1
		runOwnCase(t, after.String(), op, func(t *testing.T, sm *simulation) {
			key, body := newIdempotencyKey(), `{"batch":1}`
			stopped := sm.stopInBackground(entryName(0))
			time.Sleep(after)
			re := sm.postRelease("caller", entryName(0), key, body, ownPatience)
			<-stopped
			if re.err != nil {
				// The node takes no connections any more.
				return
			}
			sm.stop("ledger")
			sm.startAgent("ledger")
			time.Sleep(5 * time.Second)
			if re := sm.postRelease("caller", entryName(1), key, body, ownPatience); re.status != http.StatusCreated || sm.recordedRuns(body) != 1 {
				t.Errorf("the call %v after the SIGTERM, sent again later: status %d, outcome %q, %.200q; it ran %d times", after, re.status, re.outcome, re.body, sm.recordedRuns(body))
			}
		})
	}
}

// Requests that outlast the stop of their entry node are answered before its end, and truly: a chat that runs as one whose
// outcome is unknown because of the stop.
func TestOwnStopTellsRequestsThatOutlastItTheTruth(t *testing.T) {
	const stopTimeout = 5 * time.Second
	runSimulation(t, smallSimulation(), func(t *testing.T, sm *simulation) {
		done := make(chan reply, 1)
		go func() {
			done <- sm.sendChat("caller", entryName(0), ownModel, ownPrompt, 1500, false, ownPatience)
		}()
		time.Sleep(500 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), stopTimeout)
		defer cancel()
		_ = sm.currentRun(entryName(0)).app.Stop(ctx)
		re := <-done
		if re.err != nil || re.status != http.StatusBadGateway || re.outcome != "unknown" || strings.Contains(re.body, "caller") {
			t.Errorf("status %d, error %v, outcome %q, %q, want an unknown outcome because of the stop", re.status, re.err, re.outcome, re.body)
		}
	})
}

// A stop that has less time than drain_grace_ms still answers what is in flight before it ends.
func TestOwnStopShorterThanItsGraceAnswers(t *testing.T) {
	for _, stopTimeout := range []time.Duration{100 * time.Millisecond, ownDrainGrace - 50*time.Millisecond, ownDrainGrace + 50*time.Millisecond, 2 * time.Second} {
		op := smallSimulation()
		op.serviceCallTime = time.Minute
		runOwnCase(t, stopTimeout.String(), op, func(t *testing.T, sm *simulation) {
			done := make(chan reply, 2)
			go func() {
				done <- sm.postRelease("caller", entryName(0), newIdempotencyKey(), `{"batch":1}`, ownPatience)
			}()
			go func() {
				done <- sm.sendChat("caller", entryName(0), ownModel, ownPrompt, 1500, false, ownPatience)
			}()
			time.Sleep(200 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), stopTimeout)
			defer cancel()
			_ = sm.currentRun(entryName(0)).app.Stop(ctx)
			for range cap(done) {
				if re := <-done; re.err != nil || re.status != http.StatusBadGateway || re.outcome != "unknown" {
					t.Errorf("status %d, error %v, outcome %q after %v, want an unknown outcome", re.status, re.err, re.outcome, re.took)
				}
			}
		})
	}
}
