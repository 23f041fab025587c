package proofs

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/admin"
	"github.com/bambooladder/bambooladder/stand/logsvc"
)

// engineCrashes returns the number of crashes of all engines.
func (sm *simulation) engineCrashes() int {
	count := 0
	for ix, en := range sm.engines {
		boot := 0
		_, _ = fmt.Sscanf(en.Boot(), engineName(ix)+"-%d", &boot)
		count += boot - 1
	}
	return count
}

// A caller that repeats a request that crashes engines could take down one engine after another.
// The test repeats such a request through every entry node: after two crashes it must be refused
// as blocked, while other requests are answered.
func TestCrashingRequestIsBlockedAfterTwoEngineCrashes(t *testing.T) {
	op := smallSimulation()
	op.engines, op.entries = 4, 3
	runSimulation(t, op, func(t *testing.T, sm *simulation) {
		wg := sync.WaitGroup{}
		for ix := range 12 {
			wg.Go(func() {
				prompt := fmt.Sprint("innocent ", ix)
				mustAnswer(t, sm.sendChat("caller", entryName(ix%3), "cure@1", prompt, 100, ix%2 == 0, 19*time.Second), "cure@1", prompt, 100)
			})
		}
		time.Sleep(600 * time.Millisecond)
		for ix := range 9 {
			re := sm.sendChat("caller", entryName(ix%3), "cure@1", crashWord, 10, false, 10*time.Second)
			if re.status < http.StatusBadRequest || re.outcome == "" {
				t.Errorf("request %d: status %d, error %v, want an error response with an outcome", ix, re.status, re.err)
			}
			if ix >= 2 && (re.errorType != "blocked" || re.took > 50*time.Millisecond || re.header.Get("Retry-After") == "") {
				t.Errorf("request %d: error type %q after %s, want blocked with Retry-After within 50 ms", ix, re.errorType, re.took)
			}
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		if got := sm.engineCrashes(); got > 2 {
			t.Errorf("the request crashed %d engines, want at most 2", got)
		}
	})
}

// A request suspected of crashing engines is tested with a probe. A probe that ends without an
// answer proves nothing and must not clear the request. The test stops the weight store once one
// engine has the adapter: the request crashes that engine, and probes on the others can't load it.
func TestCrashingRequestStaysBlockedWhenProbesFail(t *testing.T) {
	op := smallSimulation()
	op.engines = 4
	runSimulation(t, op, func(t *testing.T, sm *simulation) {
		mustAnswer(t, sm.sendChat("caller", entryName(0), "cure@1", "warm up", 5, false, 10*time.Second), "cure@1", "warm up", 5)
		sm.store.SetDown(true)
		for ix := range 6 {
			sm.sendChat("caller", entryName(ix%2), "cure@1", crashWord, 10, false, 3*time.Second)
			time.Sleep(time.Second)
		}
		sm.store.SetDown(false)
		errorType := ""
		for ix := range 8 {
			errorType = sm.sendChat("caller", entryName(ix%2), "cure@1", crashWord, 10, false, 10*time.Second).errorType
			time.Sleep(time.Second)
		}
		if got := sm.engineCrashes(); got > 2 || errorType != "blocked" {
			t.Errorf("%d engines crashed, want at most 2; the last response has error type %q, want blocked", got, errorType)
		}
	})
}

// A connection that loses all data without closing could block its requests forever. The test drops
// the data between an entry node and its agents during a stream and during a claimed call: the
// connections must be replaced within five seconds, both requests must succeed and the call must
// run once.
func TestSilentConnectionIsReplacedWithinFiveSeconds(t *testing.T) {
	op := smallSimulation()
	op.engines, op.serviceCallTime = 1, 2*time.Second
	runSimulation(t, op, func(t *testing.T, sm *simulation) {
		wg := sync.WaitGroup{}
		wg.Go(func() {
			mustAnswer(t, sm.sendChat("caller", entryName(0), "cure@1", "long", 400, true, 19*time.Second), "cure@1", "long", 400)
		})
		wg.Go(func() {
			if re := sm.postRelease("caller", entryName(0), newIdempotencyKey(), `{"batch":1}`, 15*time.Second); re.status != http.StatusCreated {
				t.Errorf("claimed call: status %d, error %v, body %s", re.status, re.err, re.body)
			}
		})
		time.Sleep(time.Second)
		silentSince := time.Now()
		sm.net.dropOpenConnectionData(sm.currentRun(entryName(0)).host, sm.currentRun(runnerName(0)).host)
		sm.net.dropOpenConnectionData(sm.currentRun(entryName(0)).host, sm.currentRun("ledger").host)
		sm.waitUntil("an answer over a new connection", func() bool {
			_, complete := sm.sendChat("caller", entryName(0), "cure@1", "probe", 1, false, 500*time.Millisecond).text()
			return complete
		})
		if took := time.Since(silentSince); took > 5*time.Second {
			t.Errorf("the silent connection was replaced after %s, want at most 5 s", took)
		}
		wg.Wait()
		if got := len(sm.plain.RecordedCalls()); got != 1 {
			t.Errorf("the ledger recorded %d releases, want 1", got)
		}
	})
}

// An agent that stops must announce it to the entry nodes directly, since the host list may be a
// minute late. The test stops an agent while requests are queued for its engine: three seconds later
// the engine must receive no further requests, and every request must be answered.
func TestLeavingRunnerGetsNoRequestsAfterThreeSeconds(t *testing.T) {
	op := smallSimulation()
	op.engines = 3
	runSimulationWithHostListLag(t, op, time.Minute, func(t *testing.T, sm *simulation) {
		wg := sync.WaitGroup{}
		sendChat := func(ix, tokens int) {
			prompt := fmt.Sprint("request ", ix)
			mustAnswer(t, sm.sendChat("caller", entryName(ix%2), "cure@1", prompt, tokens, ix%2 == 0, 19*time.Second), "cure@1", prompt, tokens)
		}
		// The first requests run for more than three seconds, so that the agent drains that long.
		for ix := range 6 {
			wg.Go(func() { sendChat(ix, 400) })
		}
		time.Sleep(500 * time.Millisecond)
		leavingEngine := sm.busyEngine()
		leftAt := time.Now()
		wg.Go(func() { sm.stop(runnerName(leavingEngine)) })
		for ix := range 20 {
			wg.Go(func() { sendChat(100+ix, 10) })
			time.Sleep(300 * time.Millisecond)
		}
		wg.Wait()
		for _, se := range sm.engines[leavingEngine].Served() {
			if se.Started.After(leftAt.Add(3 * time.Second)) {
				t.Errorf("the engine started %q %s after its agent began to stop", se.Prompt, se.Started.Sub(leftAt))
			}
		}
	})
}

// busyEngine returns the index of an engine that runs requests, or 0 if there is none.
func (sm *simulation) busyEngine() int {
	for ix, en := range sm.engines {
		iv, _ := en.Inventory()
		for _, he := range iv.Held {
			if he.Running > 0 {
				return ix
			}
		}
	}
	return 0
}

// A call that must not be repeated would have an unknown outcome if its agent stopped too early. The
// test stops the agent during such a call, which must be answered.
func TestServiceAgentStopFinishesRunningCall(t *testing.T) {
	op := smallSimulation()
	op.serviceCallTime = 2 * time.Second
	runSimulation(t, op, func(t *testing.T, sm *simulation) {
		done := make(chan reply, 1)
		go func() {
			done <- sm.postRelease("caller", entryName(0), newIdempotencyKey(), `{"batch":1}`, 10*time.Second)
		}()
		time.Sleep(500 * time.Millisecond)
		sm.stop("ledger")
		if re := <-done; re.status != http.StatusCreated {
			t.Errorf("call during the stop: status %d, error %v, body %s", re.status, re.err, re.body)
		}
	})
}

// runSimulationWithHostListLag runs a test in a simulation whose host list starts to lag when the
// deployment is ready.
func runSimulationWithHostListLag(t *testing.T, op simulationOptions, lag time.Duration, test func(t *testing.T, sm *simulation)) {
	t.Helper()
	op.hostListLag = 0
	runSimulation(t, op, func(t *testing.T, sm *simulation) {
		sm.hosts.SetLag(lag)
		test(t, sm)
	})
}

// An entry node may die between claiming an idempotency key and answering. The test kills it at
// every 1.5 ms of the first 60 ms of a call and repeats the call through another entry node, which
// must answer it; the call must have run once.
func TestCallRunsOnceWhenClaimHolderIsKilled(t *testing.T) {
	for after := time.Duration(0); after <= 60*time.Millisecond; after += 1500 * time.Microsecond {
		op := smallSimulation()
		op.engines = 1
		runSimulation(t, op, func(t *testing.T, sm *simulation) {
			key := newIdempotencyKey()
			go func() { sm.postRelease("caller", entryName(0), key, `{"batch":1}`, 5*time.Second) }()
			time.Sleep(after)
			sm.kill(entryName(0))
			sm.waitUntil("an answer through another entry node", func() bool {
				return sm.postRelease("caller", entryName(1), key, `{"batch":1}`, 5*time.Second).status == http.StatusCreated
			})
			if got := len(sm.plain.RecordedCalls()); got != 1 {
				t.Errorf("killed after %s: the ledger recorded %d releases, want 1", after, got)
			}
		})
	}
}

// An agent that is killed loses its table of claimed calls, so a repeated call could run twice. The
// test kills the agent at every 1.5 ms of the first 60 ms of a call and repeats the call: it must run
// at most once, exactly once if it was answered, and never if every outcome was not_run.
func TestCallRunsAtMostOnceWhenAgentIsKilled(t *testing.T) {
	for after := time.Duration(0); after <= 60*time.Millisecond; after += 1500 * time.Microsecond {
		op := smallSimulation()
		op.engines = 1
		runSimulation(t, op, func(t *testing.T, sm *simulation) {
			key, answered, notRun := newIdempotencyKey(), false, true
			record := func(re reply) {
				answered = answered || re.status == http.StatusCreated
				notRun = notRun && re.outcome == "not_run"
			}
			done := make(chan reply, 1)
			go func() { done <- sm.postRelease("caller", entryName(0), key, `{"batch":1}`, 3*time.Second) }()
			time.Sleep(after)
			sm.kill("ledger")
			sm.startAgent("ledger")
			record(<-done)
			for ix := range 6 {
				time.Sleep(time.Second)
				record(sm.postRelease("caller", entryName(ix%2), key, `{"batch":1}`, 3*time.Second))
			}
			ran := len(sm.plain.RecordedCalls())
			if ran > 1 || answered && ran != 1 || notRun && ran != 0 {
				t.Errorf("killed after %s: the call ran %d times; answered %t, all outcomes not_run %t", after, ran, answered, notRun)
			}
		})
	}
}

// A claim is a record in the log, so a log failure could lose or repeat a call. The test sends calls
// while the log is down, does not respond or loses its answers. Error responses must come within 3 s
// with outcome and Retry-After, and the call must have run once when the log works again.
func TestClaimedCallRunsOnceWhenLogFails(t *testing.T) {
	for _, mode := range []logsvc.Mode{logsvc.Down, logsvc.Silent, logsvc.LoseAnswers} {
		runSimulation(t, smallSimulation(), func(t *testing.T, sm *simulation) {
			sm.log.SetMode(mode)
			key := newIdempotencyKey()
			for range 4 {
				re := sm.postRelease("caller", entryName(0), key, `{"batch":1}`, 10*time.Second)
				if re.status != http.StatusCreated && (re.outcome == "" || re.header.Get("Retry-After") == "" || re.took > 3*time.Second) {
					t.Errorf("log %s: status %d after %s without outcome or Retry-After, or too late: %s", mode, re.status, re.took, re.body)
				}
				if re.outcome == "not_run" && len(sm.plain.RecordedCalls()) > 0 {
					t.Errorf("log %s: outcome is not_run, but the call ran", mode)
				}
			}
			if mode == logsvc.LoseAnswers {
				re := sm.postRelease("caller", entryName(0), newIdempotencyKey(), `{"batch":3}`, 10*time.Second)
				if re.status != http.StatusCreated || re.took > time.Second {
					t.Errorf("log %s: status %d after %s; the claim can be read back, want 201 within 1 s", mode, re.status, re.took)
				}
			}
			if mode == logsvc.Down {
				time.Sleep(5 * time.Second)
				if re := sm.postRelease("caller", entryName(1), newIdempotencyKey(), `{"batch":2}`, 10*time.Second); re.took > 50*time.Millisecond || re.outcome != "not_run" {
					t.Errorf("log down for over 5 s: outcome %q after %s, want not_run within 50 ms", re.outcome, re.took)
				}
			}
			sm.log.SetMode(logsvc.Up)
			sm.waitUntil("an answer when the log works again", func() bool {
				return sm.postRelease("caller", entryName(1), key, `{"batch":1}`, 5*time.Second).status == http.StatusCreated
			})
			ran := 0
			for _, re := range sm.plain.RecordedCalls() {
				if re.Key == key {
					ran++
				}
			}
			if ran != 1 {
				t.Errorf("log %s: the call ran %d times, want once", mode, ran)
			}
		})
	}
}

// Claim records expire from the log, so a node that started later can't know whether an old key was
// used. After three hours without calls a fresh key must be accepted, and the old key must be refused
// by a node that was running and by one that started after the records expired.
func TestExpiredKeyIsRefusedAndFreshKeyAcceptedAfterThreeHours(t *testing.T) {
	runSimulation(t, smallSimulation(), func(t *testing.T, sm *simulation) {
		key := newIdempotencyKey()
		if re := sm.postRelease("caller", entryName(0), key, `{"batch":1}`, 5*time.Second); re.status != http.StatusCreated {
			t.Fatalf("first call: status %d: %s", re.status, re.body)
		}
		time.Sleep(3 * time.Hour)
		if re := sm.postRelease("caller", entryName(0), newIdempotencyKey(), `{"batch":2}`, 5*time.Second); re.status != http.StatusCreated {
			t.Errorf("fresh key after three hours without calls: status %d: %s", re.status, re.body)
		}
		sm.kill(entryName(1))
		sm.startEntry(entryName(1))
		sm.waitUntil("the restarted entry node is ready", func() bool { return sm.entryReady(entryName(1)) })
		for ix := range 2 {
			re := sm.postRelease("caller", entryName(ix), key, `{"batch":1}`, 5*time.Second)
			if re.errorType != "idempotency_key_expired" {
				t.Errorf("old key through %s: status %d, want idempotency_key_expired: %s", entryName(ix), re.status, re.body)
			}
		}
		if got := len(sm.plain.RecordedCalls()); got != 2 {
			t.Errorf("the ledger recorded %d releases, want 2", got)
		}
	})
}

// While the log is down, a new entry node can read the settings only from its peers. The test
// replaces all entry nodes one after another during an outage: no accepted change may be lost, and a
// new change must be in force everywhere in time after the outage.
func TestSettingsSurviveReplacementOfAllEntryNodes(t *testing.T) {
	op := smallSimulation()
	op.entries = 3
	runSimulation(t, op, func(t *testing.T, sm *simulation) {
		oc, status := sm.proposeChange(entryName(0), admin.Change{ID: "second", Edits: []admin.Edit{{Path: "models/other", Body: []byte(`{}`)}}})
		if status != http.StatusOK {
			t.Fatalf("change before the outage: status %d", status)
		}
		time.Sleep(time.Second)
		sm.log.SetMode(logsvc.Down)
		for ix := range 3 {
			sm.kill(entryName(ix))
			sm.startEntry(entryName(ix))
			sm.waitUntil(entryName(ix)+" is ready with the settings of its peers", func() bool {
				no, ok := sm.nodeStatus(entryName(ix))
				return ok && no.Ready && no.Revision == oc.Revision
			})
			mustAnswer(t, sm.sendChat("caller", entryName(ix), "cure@1", "during the outage", 5, false, 10*time.Second), "cure@1", "during the outage", 5)
		}
		sm.log.SetMode(logsvc.Up)
		third, status := sm.proposeChange(entryName(1), admin.Change{ID: "third", Edits: []admin.Edit{{Path: "models/third", Body: []byte(`{}`)}}})
		if status != http.StatusOK || third.Kind != "accepted" {
			t.Fatalf("change after the outage: status %d, outcome %+v", status, third)
		}
		acceptedAt := time.Now()
		for ix := range 3 {
			sm.waitUntil("the change is in force", func() bool { no, ok := sm.nodeStatus(entryName(ix)); return ok && no.Revision == third.Revision })
		}
		if took := time.Since(acceptedAt); took > settingsDelayMax {
			t.Errorf("the change was in force on all entry nodes after %s, want at most 8 s", took)
		}
	})
}

// Settings records expire from the log, so a new node depends on the snapshots. The test lets the
// records expire, kills all entry nodes and starts one: it must load the settings from the last
// complete snapshot although an incomplete one was written after it.
func TestSettingsLoadFromSnapshotAfterRecordsExpire(t *testing.T) {
	runSimulation(t, smallSimulation(), func(t *testing.T, sm *simulation) {
		time.Sleep(50 * time.Minute)
		if _, err := sm.log.Append("settings-snapshots", [][]byte{{0xa1, 0x65, 'c', 'h', 'u', 'n', 'k'}}); err != nil {
			t.Fatal(err)
		}
		sm.log.SetRetention(20 * time.Minute)
		for ix := range 2 {
			sm.kill(entryName(ix))
		}
		sm.startEntry(entryName(0))
		sm.waitUntil("the entry node is ready with the settings from the snapshot", func() bool { no, ok := sm.nodeStatus(entryName(0)); return ok && no.Ready })
		mustAnswer(t, sm.sendChat("caller", entryName(0), "cure@1", "after retention", 5, false, 10*time.Second), "cure@1", "after retention", 5)
	})
}

// Two operators that change the same subtree at the same time must not overwrite each other. The
// test sends two changes through two entry nodes: one must be accepted, the other must be refused
// as a conflict, which names the change that came first.
func TestConcurrentChangesOfOneSubtreeAcceptExactlyOne(t *testing.T) {
	runSimulation(t, smallSimulation(), func(t *testing.T, sm *simulation) {
		outcomes := make([]admin.Outcome, 2)
		wg := sync.WaitGroup{}
		for ix := range 2 {
			wg.Go(func() {
				outcomes[ix], _ = sm.proposeChange(entryName(ix), admin.Change{
					ID: fmt.Sprint("race-", ix), Edits: []admin.Edit{{Path: "models/race", Body: []byte(fmt.Sprintf(`{"description":"%d"}`, ix))}},
				})
			})
		}
		wg.Wait()
		kinds := map[string]int{}
		for _, oc := range outcomes {
			kinds[oc.Kind]++
		}
		if kinds["accepted"] != 1 || kinds["conflict"] != 1 {
			t.Errorf("outcomes %+v, want one accepted and one conflict", outcomes)
		}
	})
}

// readyEntry returns one of the entry nodes that the load balancer lists as ready.
func (hi *history) readyEntry(pick int) string {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	return hi.ready[pick%len(hi.ready)]
}

// A graceful stop must not interrupt requests. The test restarts every entry node and every engine's
// agent, one after another, under load: every request must succeed.
func TestRollingRestartInterruptsNoRequest(t *testing.T) {
	op := smallSimulation()
	op.entries, op.engines = 3, 3
	runSimulation(t, op, func(t *testing.T, sm *simulation) {
		end := time.Now().Add(30 * time.Second)
		hi := &history{t: t, sm: sm, endedAt: map[string]time.Time{}}
		done := make(chan struct{})
		wg := sync.WaitGroup{}
		wg.Go(func() { hi.pollReadiness(done) })
		time.Sleep(200 * time.Millisecond)
		callers := sync.WaitGroup{}
		for ix := range 6 {
			callers.Go(func() {
				for count := 0; time.Now().Before(end); count++ {
					prompt := fmt.Sprint("request ", ix, " ", count)
					mustAnswer(t, sm.sendChat("caller", hi.readyEntry(ix+count), "cure@1", prompt, 80, ix%2 == 0, 15*time.Second), "cure@1", prompt, 80)
					if re := sm.postRelease("caller", hi.readyEntry(ix+count), newIdempotencyKey(), prompt, 10*time.Second); re.status != http.StatusCreated {
						t.Errorf("ledger call: status %d, error %v, body %s", re.status, re.err, re.body)
					}
				}
			})
		}
		for ix := range 3 {
			for _, name := range []string{entryName(ix), runnerName(ix)} {
				sm.stop(name)
				hi.startProgram(name)
				time.Sleep(4 * time.Second)
			}
		}
		callers.Wait()
		close(done)
		wg.Wait()
	})
}
