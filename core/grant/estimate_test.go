package grant

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// served returns the number of requests that were granted, and of those that were granted before their goal.
func (rp *replay) served() (granted, onTime int) {
	for _, rs := range rp.sent {
		if rs.grantedAt.IsZero() {
			continue
		}
		granted++
		if rs.grantedAt.Before(rs.goalAt) {
			onTime++
		}
	}
	return granted, onTime
}

// compareWaits returns how many requests were granted, and for how many of them the expected wait was too long or too
// short by more than a quarter and 250 ms.
func (rp *replay) compareWaits() (granted, long, short int) {
	for _, rs := range rp.sent {
		if rs.grantedAt.IsZero() {
			continue
		}
		granted++
		const slack = 250 * time.Millisecond
		took := rs.grantedAt.Sub(rs.at)
		if float64(rs.expected) > estimateMargin*float64(took)+float64(slack) {
			long++
		}
		if float64(took) > estimateMargin*float64(rs.expected)+float64(slack) {
			short++
		}
	}
	return granted, long, short
}

// Refusals on an estimate must not cost an engine work that it could have done, and a caller whose request cannot be
// granted in time must learn that before the deadline.
func TestUnreachableDeadlineIsRefusedEarly(t *testing.T) {
	for _, factor := range []float64{1, 7.5} {
		for _, output := range []int{20, 200, 600} {
			organisations := sixteen(1, factor)
			for ix := range organisations {
				organisations[ix].output = output
			}
			rp := newReplay(t, 1, 30_000, 6, organisations)
			rp.noGoals = true
			rp.run(25*time.Second, nil)
			grantedBefore, onTimeBefore := rp.served()

			rp = newReplay(t, 1, 30_000, 6, organisations)
			rp.estimates = true
			rp.run(25*time.Second, nil)
			granted, onTime := rp.served()
			_, long, short := rp.compareWaits()
			waits := make([]time.Duration, 0)
			atDeadline := 0
			for _, rs := range rp.sent {
				// Nothing is known of an engine whose first requests have not ended.
				if rs.refusedAt.IsZero() || rs.at.Sub(testStart) < 8*time.Second {
					continue
				}
				waits = append(waits, rs.refusedAt.Sub(rs.at))
				if rs.reason == ReasonDeadline {
					atDeadline++
				}
			}
			slices.Sort(waits)
			median := time.Duration(0)
			if len(waits) > 0 {
				median = waits[len(waits)/2]
			}
			t.Logf("load %.1f, output %d: granted %d (%d without refusals), before the goal %d (%d); %d refused after a median of %s, %d of them at the deadline; waits expected too long %d, too short %d",
				factor, output, granted, grantedBefore, onTime, onTimeBefore, len(waits), median, atDeadline, long, short)
			if granted < grantedBefore*98/100 {
				t.Errorf("load %.1f, output %d: %d requests were granted, %d without refusals", factor, output, granted, grantedBefore)
			}
			// With long outputs the first requests end together, so that for seconds no estimate can foresee the next grants.
			if atDeadline > len(waits)/10 {
				t.Errorf("load %.1f, output %d: %d of %d refused requests waited until their deadline, want at most a tenth", factor, output, atDeadline, len(waits))
			}
		}
	}
}

// A request whose wait becomes too long while it is queued is refused in Tick.
func TestQueuedRequestIsRefusedOnceItsDeadlineIsUnreachable(t *testing.T) {
	dr := newFullDriver(t)
	dr.reserveFor("o", "behind", "", 2, time.Second)
	for ix := range 120 {
		dr.reserveFor("p", fmt.Sprint("urgent", ix), "", 9, 0)
	}
	for range 300 {
		dr.reserveFor("o", "own", "", 9, 0)
	}
	dr.now = dr.now.Add(time.Second)
	dr.record(dr.en.Tick(dr.now))
	if want := "[behind]"; fmt.Sprint(dr.refused) != want {
		t.Errorf("refused %v, want %s", dr.refused, want)
	}
}

// When the queue is full, a request of the organisation with most queued requests gives way to that of another one.
func TestFullQueueRefusesTheOrganisationWithMostRequests(t *testing.T) {
	dr := newFullDriver(t)
	for ix := range queueMax {
		dr.record(dr.en.Reserve(Request{
			Attempt: fmt.Sprint("large", ix), Entry: "entry", Key: Key{Model: testModel}, PromptTokens: 10, Organisation: "large", OutputTokens: 90,
			Deadline: dr.now.Add(time.Minute),
		}, dr.now))
	}
	dr.reserveFor("small", "small", "", 0, 0)
	dr.reserveFor("large", "more", "", 0, 0)
	if want := fmt.Sprintf("[large%d more]", queueMax-2+1); fmt.Sprint(dr.refused) != want {
		t.Errorf("refused %v, want %s", dr.refused, want)
	}
	if len(dr.en.queue) != queueMax || dr.en.queueIndex("small") < 0 {
		t.Errorf("the queue holds %d requests, the small organisation's at %d", len(dr.en.queue), dr.en.queueIndex("small"))
	}
}

// Callers that are refused in a burst must not come back together.
func TestRetryDelaysOfABurstAreSpread(t *testing.T) {
	const bins = 10
	drainTime := 2 * time.Second
	counts := [bins]int{}
	for ix := range 1000 {
		rq := &Request{Attempt: fmt.Sprintf("0b2c7a1e-%d-1-9f3a", ix), Organisation: "o"}
		delay := retryAfter(rq, drainTime)
		if delay < drainTime/2 || delay > drainTime*3/2 {
			t.Fatalf("retry delay %s, want %s to %s", delay, drainTime/2, drainTime*3/2)
		}
		if delay != retryAfter(rq, drainTime) {
			t.Fatal("the retry delay of an attempt differs from call to call")
		}
		counts[min(bins-1, int(bins*(delay-drainTime/2)/drainTime))]++
	}
	for _, count := range counts {
		if math.Abs(float64(count)-1000/bins) > 50 {
			t.Errorf("refusals in a tenth of the time: %v, want about %d in each", counts, 1000/bins)
		}
	}
}

// A burst that is refused must not come back as a second one. The callers here send again after the time that they were
// told.
func TestRefusedBurstReturnsSpreadOut(t *testing.T) {
	for _, nameless := range []bool{true, false} {
		rp := newReplay(t, 1, 30_000, 6, sixteen(1, 1))
		rp.nameless, rp.retries = nameless, true
		rp.run(2*time.Second, nil)
		burstStart := rp.now
		for ix := range rp.organisations {
			rp.organisations[ix].perSecond *= 60
		}
		rp.run(500*time.Millisecond, nil)
		for ix := range rp.organisations {
			rp.organisations[ix].perSecond /= 60
		}
		rp.run(10*time.Second, nil)
		const bin = 250 * time.Millisecond
		counts := map[int]int{}
		for _, rs := range rp.sent {
			counts[int(rs.at.Sub(burstStart)/bin)]++
		}
		burst, later := max(counts[0], counts[1]), 0
		for ix, count := range counts {
			if ix > 2 {
				later = max(later, count)
			}
		}
		t.Logf("without organisations %t: %d requests in 250 ms of the burst, at most %d in any later 250 ms", nameless, burst, later)
		if !nameless && later > burst/3 {
			t.Errorf("%d requests came in 250 ms after a burst of %d, want at most a third", later, burst)
		}
		if nameless && later <= burst/3 {
			t.Errorf("without spread retry delays %d requests came in 250 ms after a burst of %d, so that the replay shows nothing", later, burst)
		}
	}
}

// The rate at which an engine took requests in a slow spell must not refuse requests after it.
func TestDrainRateOfAnEarlierSpellIsForgotten(t *testing.T) {
	dm := drainMeter{full: true, measuredAt: testStart}
	dm.granted(1000)
	dm.advance(testStart.Add(time.Second))
	if dm.timeFor(1000) == 0 {
		t.Fatal("the drain rate is not known after a second of measuring")
	}
	dm.full = false
	dm.advance(testStart.Add(9 * time.Second))
	if dm.timeFor(1000) == 0 {
		t.Error("the drain rate was forgotten too early")
	}
	dm.advance(testStart.Add(12 * time.Second))
	if got := dm.timeFor(1000); got != 0 {
		t.Errorf("an engine whose memory has not been full for 11 s is expected to take %s", got)
	}
}

// A request that the engine can run now is not refused for requests that wait for more memory than there is.
func TestRequestThatFitsIsNotRefusedForLargerOnes(t *testing.T) {
	dr := newFullDriver(t)
	dr.en.observation.MemoryTotal += 1100
	for ix := range 100 {
		dr.record(dr.en.Reserve(Request{
			Attempt: fmt.Sprint("large", ix), Entry: "entry", Key: Key{Model: testModel}, Urgency: 9, PromptTokens: 1100, OutputTokens: 20, Organisation: "o",
			Deadline: dr.now.Add(time.Minute),
		}, dr.now))
	}
	dr.reserveFor("o", "small", "", 5, time.Second)
	if want := "[small]"; fmt.Sprint(dr.granted) != want || len(dr.refused) != 0 {
		t.Errorf("granted %v, refused %v, want %s granted", dr.granted, dr.refused, want)
	}
}

// An engine whose memory was full falls silent for ten seconds. The silence must not count as time in which it took nothing from
// the queue: requests would be refused that it can serve.
func TestDrainRateIsForgottenWhileTheEngineIsSilent(t *testing.T) {
	dr := newFullDriver(t)
	dr.en.drain = drainMeter{full: true, measuredAt: dr.now, tokens: 1000, seconds: 1}
	dr.en.InspectionFailed(dr.now)
	for second := range 10 {
		dr.en.Tick(dr.now.Add(time.Duration(second) * time.Second))
	}
	if got := dr.en.drain.timeFor(1000); got != 0 {
		t.Errorf("the engine is expected to take %s for 1000 tokens after a silence", got)
	}
}

// An engine that has granted nearly nothing for long must yield a long wait, not a negative one.
func TestDrainTimeIsBounded(t *testing.T) {
	dm := drainMeter{tokens: 1e-12, seconds: 10}
	if got := dm.timeFor(100_000); got != drainTimeMax {
		t.Errorf("expected time %s, want %s", got, drainTimeMax)
	}
}
