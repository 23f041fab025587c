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

// crashes counts the crashes of all engines.
func (sm *simulation) engineCrashes() int {
	count := 0
	for ix, en := range sm.engines {
		boot := 0
		_, _ = fmt.Sscanf(en.Boot(), engineName(ix)+"-%d", &boot)
		count += boot - 1
	}
	return count
}

// TestCrashingRequestTakesDownTwoEngines sends a request that crashes engines again
// and again through every entry node, beside innocent requests.
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
				t.Errorf("send %d: status %d, error %v", ix, re.status, re.err)
			}
			if ix >= 2 && (re.errorType != "blocked" || re.took > 50*time.Millisecond || re.header.Get("Retry-After") == "") {
				t.Errorf("send %d: kind %s after %s", ix, re.errorType, re.took)
			}
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		if got := sm.engineCrashes(); got > 2 {
			t.Errorf("the request crashed %d engines", got)
		}
	})
}

// TestCrashingRequestWhileProbesFail takes the store away after the first crash, so
// that probes end without an answer; they must not clear the request.
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
			t.Errorf("%d engines crashed, the last send is %s", got, errorType)
		}
	})
}

// TestSilentConnectionIsReplaced lets the connection to the runner fall silent under a stream and under a claimed call.
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
				t.Errorf("call: status %d, error %v, body %s", re.status, re.err, re.body)
			}
		})
		time.Sleep(time.Second)
		silentSince := time.Now()
		sm.net.dropOpenConnectionData(sm.currentRun(entryName(0)).host, sm.currentRun(runnerName(0)).host)
		sm.net.dropOpenConnectionData(sm.currentRun(entryName(0)).host, sm.currentRun("ledger").host)
		sm.waitUntil("a new connection", func() bool {
			_, whole := sm.sendChat("caller", entryName(0), "cure@1", "probe", 1, false, 500*time.Millisecond).text()
			return whole
		})
		if took := time.Since(silentSince); took > 5*time.Second {
			t.Errorf("the silent connection was replaced after %s", took)
		}
		wg.Wait()
		if got := len(sm.plain.RecordedCalls()); got != 1 {
			t.Errorf("%d releases instead of one", got)
		}
	})
}

// TestLeavingRunnerGetsNoNewWork stops an agent while requests queue for its engine
// and the host list lags by a minute.
func TestLeavingRunnerGetsNoRequestsAfterThreeSeconds(t *testing.T) {
	op := smallSimulation()
	op.engines = 3
	runSimulationWithHostListLag(t, op, time.Minute, func(t *testing.T, sm *simulation) {
		wg := sync.WaitGroup{}
		sendChat := func(ix, tokens int) {
			prompt := fmt.Sprint("request ", ix)
			mustAnswer(t, sm.sendChat("caller", entryName(ix%2), "cure@1", prompt, tokens, ix%2 == 0, 19*time.Second), "cure@1", prompt, tokens)
		}
		// The first requests outlast the three seconds, so that the drain does, too.
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
				t.Errorf("the leaving engine was given %q %s after it began to leave", se.Prompt, se.Started.Sub(leftAt))
			}
		}
	})
}

// busyEngine returns an engine that runs requests.
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

// TestPlannedStopOfAServiceAgent stops the agent of a service while it runs a call that must not be repeated.
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
			t.Errorf("status %d, error %v, body %s", re.status, re.err, re.body)
		}
	})
}

// synctestWorld waits for a slow host list before it hands the world to the test.
func runSimulationWithHostListLag(t *testing.T, op simulationOptions, lag time.Duration, test func(t *testing.T, sm *simulation)) {
	t.Helper()
	op.hostListLag = 0
	runSimulation(t, op, func(t *testing.T, sm *simulation) {
		sm.hosts.SetLag(lag)
		test(t, sm)
	})
}

// TestHolderDiesAtAnyMoment kills the entry node that holds a claim after each of
// many short times, then sends the call again through another one.
func TestCallRunsOnceWhenClaimHolderIsKilled(t *testing.T) {
	for after := time.Duration(0); after <= 60*time.Millisecond; after += 1500 * time.Microsecond {
		op := smallSimulation()
		op.engines = 1
		runSimulation(t, op, func(t *testing.T, sm *simulation) {
			key := newIdempotencyKey()
			go func() { sm.postRelease("caller", entryName(0), key, `{"batch":1}`, 5*time.Second) }()
			time.Sleep(after)
			sm.kill(entryName(0))
			sm.waitUntil("the answer through another entry node", func() bool {
				return sm.postRelease("caller", entryName(1), key, `{"batch":1}`, 5*time.Second).status == http.StatusCreated
			})
			if got := len(sm.plain.RecordedCalls()); got != 1 {
				t.Errorf("killed after %s: %d releases instead of one", after, got)
			}
		})
	}
}

// TestAgentDiesAtAnyMoment kills the agent under a claimed call, so that its table
// is gone; the call then ran at most once and its outcome is answered or unknown.
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
				t.Errorf("killed after %s: ran %d times, answered %t, not run %t", after, ran, answered, notRun)
			}
		})
	}
}

// TestClaimsWhileTheLogFails makes calls while the log is down, silent, slow or loses its answers.
func TestClaimedCallRunsOnceWhenLogFails(t *testing.T) {
	for _, mode := range []logsvc.Mode{logsvc.Down, logsvc.Silent, logsvc.LoseAnswers} {
		runSimulation(t, smallSimulation(), func(t *testing.T, sm *simulation) {
			sm.log.SetMode(mode)
			key := newIdempotencyKey()
			for range 4 {
				re := sm.postRelease("caller", entryName(0), key, `{"batch":1}`, 10*time.Second)
				if re.status != http.StatusCreated && (re.outcome == "" || re.header.Get("Retry-After") == "" || re.took > 3*time.Second) {
					t.Errorf("log %s: status %d after %s: %s", mode, re.status, re.took, re.body)
				}
				if re.outcome == "not_run" && len(sm.plain.RecordedCalls()) > 0 {
					t.Errorf("log %s: said not to have run, but ran", mode)
				}
			}
			if mode == logsvc.LoseAnswers {
				re := sm.postRelease("caller", entryName(0), newIdempotencyKey(), `{"batch":3}`, 10*time.Second)
				if re.status != http.StatusCreated || re.took > time.Second {
					t.Errorf("log %s: a claim that can be read back ended with status %d after %s", mode, re.status, re.took)
				}
			}
			if mode == logsvc.Down {
				time.Sleep(5 * time.Second)
				if re := sm.postRelease("caller", entryName(1), newIdempotencyKey(), `{"batch":2}`, 10*time.Second); re.took > 50*time.Millisecond || re.outcome != "not_run" {
					t.Errorf("log down for long: %s after %s", re.outcome, re.took)
				}
			}
			sm.log.SetMode(logsvc.Up)
			sm.waitUntil("the answer once the log is back", func() bool {
				return sm.postRelease("caller", entryName(1), key, `{"batch":1}`, 5*time.Second).status == http.StatusCreated
			})
			ran := 0
			for _, re := range sm.plain.RecordedCalls() {
				if re.Key == key {
					ran++
				}
			}
			if ran != 1 {
				t.Errorf("log %s: ran %d times instead of once", mode, ran)
			}
		})
	}
}

// TestKeysAfterQuietTime holds that a fresh key is taken after hours without a call,
// that an old one is refused, and that a node which starts behind expired records refuses what it cannot judge.
func TestExpiredKeyIsRefusedAndFreshKeyAcceptedAfterThreeHours(t *testing.T) {
	runSimulation(t, smallSimulation(), func(t *testing.T, sm *simulation) {
		key := newIdempotencyKey()
		if re := sm.postRelease("caller", entryName(0), key, `{"batch":1}`, 5*time.Second); re.status != http.StatusCreated {
			t.Fatalf("status %d: %s", re.status, re.body)
		}
		time.Sleep(3 * time.Hour)
		if re := sm.postRelease("caller", entryName(0), newIdempotencyKey(), `{"batch":2}`, 5*time.Second); re.status != http.StatusCreated {
			t.Errorf("a fresh key after quiet hours: status %d: %s", re.status, re.body)
		}
		sm.kill(entryName(1))
		sm.startEntry(entryName(1))
		sm.waitUntil("the entry node", func() bool { return sm.entryReady(entryName(1)) })
		for ix := range 2 {
			re := sm.postRelease("caller", entryName(ix), key, `{"batch":1}`, 5*time.Second)
			if re.errorType != "idempotency_key_expired" {
				t.Errorf("an old key through %s: status %d: %s", entryName(ix), re.status, re.body)
			}
		}
		if got := len(sm.plain.RecordedCalls()); got != 2 {
			t.Errorf("%d releases instead of two", got)
		}
	})
}

// TestSettingsOutliveEveryHost replaces all entry nodes, one after another, while the log is away.
func TestSettingsSurviveReplacementOfAllEntryNodes(t *testing.T) {
	op := smallSimulation()
	op.entries = 3
	runSimulation(t, op, func(t *testing.T, sm *simulation) {
		oc, status := sm.proposeChange(entryName(0), admin.Change{ID: "second", Edits: []admin.Edit{{Path: "models/other", Body: []byte(`{}`)}}})
		if status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		time.Sleep(time.Second)
		sm.log.SetMode(logsvc.Down)
		for ix := range 3 {
			sm.kill(entryName(ix))
			sm.startEntry(entryName(ix))
			sm.waitUntil(entryName(ix)+" with the settings of its peers", func() bool {
				no, ok := sm.nodeStatus(entryName(ix))
				return ok && no.Ready && no.Revision == oc.Revision
			})
			mustAnswer(t, sm.sendChat("caller", entryName(ix), "cure@1", "during the outage", 5, false, 10*time.Second), "cure@1", "during the outage", 5)
		}
		sm.log.SetMode(logsvc.Up)
		third, status := sm.proposeChange(entryName(1), admin.Change{ID: "third", Edits: []admin.Edit{{Path: "models/third", Body: []byte(`{}`)}}})
		if status != http.StatusOK || third.Kind != "accepted" {
			t.Fatalf("after the outage: status %d, outcome %+v", status, third)
		}
		acceptedAt := time.Now()
		for ix := range 3 {
			sm.waitUntil("the change in force", func() bool { no, ok := sm.nodeStatus(entryName(ix)); return ok && no.Revision == third.Revision })
		}
		if took := time.Since(acceptedAt); took > settingsDelayMax {
			t.Errorf("the change was in force everywhere after %s", took)
		}
	})
}

// TestSettingsSurviveRetention lets the records expire and starts a node that has only a snapshot, beside a half-written one.
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
		sm.waitUntil("the settings out of the snapshot", func() bool { no, ok := sm.nodeStatus(entryName(0)); return ok && no.Ready })
		mustAnswer(t, sm.sendChat("caller", entryName(0), "cure@1", "after retention", 5, false, 10*time.Second), "cure@1", "after retention", 5)
	})
}

// TestConflictingOperators races changes of the same subtree through two entry nodes; one is accepted, the other is told whose change moved the base.
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
			t.Errorf("outcomes %+v", outcomes)
		}
	})
}

// readyEntry returns one of the entry nodes that the balancer holds ready now.
func (hi *history) readyEntry(pick int) string {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	return hi.ready[pick%len(hi.ready)]
}

// TestPlannedStopsCutOffNothing stops every entry node and every agent, one after another, under load.
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
						t.Errorf("call: status %d, error %v, body %s", re.status, re.err, re.body)
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
