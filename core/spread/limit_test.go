package spread

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/bambooladder/bambooladder/core/lease"
)

// keepingShare returns a limit whose node keeps to its share, as nobody answers asks for leases.
func keepingShare(li limit, now time.Time) limit { return li.WithSilence(now) }

// Whatever the limit, the number of nodes and the times of requests are, a node sends no more than its
// share, one request and what limitBurst allows in any window.
func TestNodeSendsNoMoreThanItsShareOfALimit(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("at most the share", prop.ForAll(func(perSecond, random float64, nodes int, gaps []int) string {
		li, now := limit{}.WithNamed(perSecond, nodes, random, start), start
		sent := []time.Time(nil)
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			if li = keepingShare(li, now); li.allows(now) {
				li = li.WithSent(now)
				sent = append(sent, now)
			}
		}
		share := max(lease.RateMin, perSecond) / float64(nodes)
		for first := range sent {
			for last := first; last < len(sent); last++ {
				window := sent[last].Sub(sent[first]) + limitBurst
				if allowed := share*window.Seconds() + 1.001; float64(last-first+1) > allowed {
					return fmt.Sprintf("%d requests in %v, allowed %.2f", last-first+1, window, allowed)
				}
			}
		}
		return ""
	}, gen.Float64Range(0, 50), gen.Float64Range(0, 1), gen.IntRange(1, 70), gen.SliceOfN(300, gen.IntRange(0, 400))))
	properties.TestingRun(t)
}

// Nodes that have had nothing to send for long must not send all at once.
func TestUnusedSharesOfRareRequestsDoNotAddUp(t *testing.T) {
	const nodes, perSecond = 68, 1.6
	limits := make([]limit, nodes)
	for ix := range limits {
		limits[ix] = limit{}.WithNamed(perSecond, nodes, float64(ix)/nodes, start)
	}
	sent := 0
	for millis := range 4000 {
		now := start.Add(10*time.Minute + time.Duration(millis)*time.Millisecond)
		for ix := range limits {
			if limits[ix] = keepingShare(limits[ix], now); limits[ix].allows(now) {
				limits[ix] = limits[ix].WithSent(now)
				sent++
			}
		}
	}
	if allowed := 1.5*perSecond*4 + 5; float64(sent) > allowed {
		t.Errorf("%d nodes send %d requests in 4 s after a pause, want at most %.1f", nodes, sent, allowed)
	}
}

func TestServerWithALimitIsNoCandidateUntilTheNextLease(t *testing.T) {
	wait := lease.Lease{Wait: 2 * time.Second}
	fl := fleetOf("e1", "e2")
	report(fl, "e1", AdapterSlot{Adapter: "x", Version: 1, Ready: true})
	fl.LimitNamed("e1", 1, 1, start)
	if ask, taken := fl.TakeLease("e1", start); taken || ask.Count != 1 || ask.PerSecond != 1 {
		t.Fatalf("ask %+v, taken %v, want an ask for one request", ask, taken)
	}
	if fl.LeaseAnswered("e1", wait, start) {
		t.Error("a refused lease allows a request")
	}
	if ch := mustChoose(t, fl, requestFor("x"), start); ch.ID != "e2" {
		t.Errorf("chose %s, which takes no request yet", ch.ID)
	}
	only := fleetOf("e1")
	only.LimitNamed("e1", 1, 1, start)
	only.LeaseAnswered("e1", wait, start)
	if ch, ok := only.Choose(requestFor("x"), start); ok {
		t.Errorf("chose %s as a last resort", ch.ID)
	}
	until, limited := only.TakesAgainAt(Request{Service: "advice"}, start)
	if !limited || !until.Equal(start.Add(2*time.Second)) {
		t.Errorf("limited %v until %v, want until two seconds later", limited, until)
	}
	if ch := mustChoose(t, only, requestFor("x"), until); ch.ID != "e1" {
		t.Errorf("chose %s", ch.ID)
	}
}

func TestLeaseAllowsItsRequestsForItsValidity(t *testing.T) {
	fl := fleetOf("e1")
	fl.LimitNamed("e1", 10, 1, start)
	if !fl.LeaseAnswered("e1", lease.Lease{Count: 3}, start) {
		t.Fatal("a lease does not allow the request that it was asked for")
	}
	if _, taken := fl.TakeLease("e1", start); !taken {
		t.Error("the second request of a lease of three has to ask")
	}
	if _, taken := fl.TakeLease("e1", start.Add(leaseValidity)); taken {
		t.Error("a request is sent with a lease that has ended")
	}
}

func TestNodeKeepsToItsShareWhileNobodyAnswers(t *testing.T) {
	fl := fleetOf("e1")
	fl.SetNodes(4, start)
	fl.LimitNamed("e1", 1, 0.5, start)
	if fl.LeaseUnanswered("e1", start) {
		t.Error("the first request is allowed before the share begins")
	}
	if until, _ := fl.TakesAgainAt(Request{Service: "advice"}, start); !until.Equal(start.Add(2 * time.Second)) {
		t.Errorf("the share begins at %v, want after half of four seconds", until)
	}
	if _, taken := fl.TakeLease("e1", start.Add(sharesTime)); taken {
		t.Error("the node does not ask again")
	}
}

func TestOnlyALaterAnswerWithoutALimitEndsIt(t *testing.T) {
	fl := fleetOf("e1")
	fl.LimitNamed("e1", 1, 1, start)
	if fl.LimitEnded("e1", start.Add(-time.Second)) {
		t.Error("an answer to an earlier request ended the limit")
	}
	if !fl.LimitEnded("e1", start.Add(time.Second)) || fl.members["e1"].limit.active() {
		t.Error("an answer to a later request did not end the limit")
	}
}

func TestNewRunOfAServerHasNoLimit(t *testing.T) {
	fl := fleetOf("e1")
	fl.LimitNamed("e1", 1, 1, start)
	fl.Put(Server{ID: "e1", Service: "advice", Zone: "z1", Region: "r1", Engine: true, Model: "m", Born: 2})
	if _, ok := fl.Choose(requestFor("x"), start); !ok {
		t.Error("a new run of the server is kept to the limit of the one before")
	}
}

func TestRequestThatWasNotSentCountsForNothing(t *testing.T) {
	li := keepingShare(limit{}.WithNamed(1, 1, 0, start), start)
	if li = li.WithSent(start); li.allows(start) {
		t.Fatal("a second request is allowed at once")
	}
	if li = li.WithUnsent(start); !li.allows(start) {
		t.Error("no request is allowed after one that was not sent")
	}
	leased := limit{}.WithNamed(1, 1, 0, start).WithLease(lease.Lease{Count: 1}, start).WithSent(start)
	if leased.hasLease(start) || !leased.WithUnsent(start).hasLease(start) {
		t.Error("a leased request that was not sent cannot be sent later")
	}
}

// A limit must hold on when the record of its server lapses and comes back, or lacks the start time of the run.
func TestLimitOutlivesTheRecordOfItsServer(t *testing.T) {
	server := func(born int64) Server { return Server{ID: "e1", Service: "advice", Zone: "z1", Born: born} }
	for name, interrupt := range map[string]func(fl *Fleet){
		"removed":              func(fl *Fleet) { fl.Remove("e1") },
		"without a start time": func(fl *Fleet) { fl.Put(server(0)) },
	} {
		fl := &Fleet{}
		fl.Put(server(7))
		fl.LimitNamed("e1", 2, 0, start)
		interrupt(fl)
		fl.Put(server(7))
		if _, taken := fl.TakeLease("e1", start); taken {
			t.Errorf("%s: a request may be sent without a lease", name)
		}
		fl.Put(server(8))
		if _, taken := fl.TakeLease("e1", start); !taken {
			t.Errorf("%s: a new run is kept to the limit of the one before", name)
		}
	}
}
