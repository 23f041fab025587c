package reader

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func peer(number int) Peer {
	return Peer{Name: fmt.Sprintf("entry-%02d", number), Address: fmt.Sprintf("10.0.0.%d:7", number)}
}

func TestNodeThatKnowsNoPeersReadsTheLogItself(t *testing.T) {
	zo := &Zone{}
	if so, ok := zo.Source(peer(1), testStart); ok {
		t.Errorf("source %+v, want none", so)
	}
}

// All nodes of a zone that know the same peers must agree on one that reads, whichever agents told
// them, and that one must know that it has to read.
func TestNodesWithTheSamePeersAgreeOnOneSource(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("one reader", prop.ForAll(func(numbers []int, agents int) bool {
		readers := map[Peer]bool{}
		for _, self := range numbers {
			zo := &Zone{}
			for ix, number := range numbers {
				host := fmt.Sprintf("agent-%d", (ix+self)%agents)
				zo.ApplyListing(host, append(zo.listings[host], peer(number)))
			}
			so, ok := zo.Source(peer(self), testStart)
			if !ok {
				so = peer(self)
			}
			readers[so] = true
		}
		return len(readers) == min(1, len(numbers))
	}, gen.SliceOf(gen.IntRange(1, 12)), gen.IntRange(1, 5)))
	properties.TestingRun(t)
}

func TestAvoidedSourceIsReplacedAndChosenAgain(t *testing.T) {
	zo := &Zone{}
	zo.ApplyListing("agent", []Peer{peer(1), peer(2), peer(3)})
	zo.Avoid(peer(3), peer(1).Address, testStart)
	if so, ok := zo.Source(peer(3), testStart); !ok || so != peer(2) {
		t.Errorf("source %+v while the first is avoided, want the second", so)
	}
	if _, ok := zo.Source(peer(2), testStart); ok {
		t.Error("the second node does not read while the first is avoided")
	}
	if so, ok := zo.Source(peer(3), testStart.Add(avoidTime)); !ok || so != peer(1) {
		t.Errorf("source %+v after the time, want the first", so)
	}
}

func TestNodeThatCannotReadTheLogReliesOnAnother(t *testing.T) {
	zo := &Zone{}
	zo.ApplyListing("agent", []Peer{peer(1), peer(2)})
	zo.Avoid(peer(1), peer(1).Address, testStart)
	if so, ok := zo.Source(peer(1), testStart); !ok || so != peer(2) {
		t.Errorf("source %+v, want the second node", so)
	}
	zo.Avoid(peer(1), peer(2).Address, testStart)
	if so, ok := zo.Source(peer(1), testStart); ok {
		t.Errorf("source %+v while all nodes are avoided, want none", so)
	}
}

// A node that stays unable to read the log must not be tried again and again, but once the log was
// down for all the nodes must soon rely on one of them again.
func TestAvoidTimeGrowsWithFailuresOfOneNodeOnly(t *testing.T) {
	avoidedFor := func(self Peer, selfFails bool) time.Duration {
		zo := &Zone{}
		zo.ApplyListing("agent", []Peer{peer(1), peer(2)})
		now := testStart
		for range 4 {
			if selfFails {
				zo.Avoid(self, self.Address, now)
			}
			zo.Avoid(self, peer(1).Address, now)
			now = zo.failed[peer(1).Address].until
		}
		if selfFails {
			zo.Avoid(self, self.Address, now)
		}
		zo.Avoid(self, peer(1).Address, now)
		return zo.failed[peer(1).Address].until.Sub(now)
	}
	if got := avoidedFor(peer(2), false); got != avoidTimeMax {
		t.Errorf("avoided for %s after five failures, want %s", got, avoidTimeMax)
	}
	if got := avoidedFor(peer(2), true); got != avoidTime {
		t.Errorf("avoided for %s after an outage of the log for all, want %s", got, avoidTime)
	}
}

func TestConfirmedNodeIsChosenAtOnce(t *testing.T) {
	zo := &Zone{}
	zo.ApplyListing("agent", []Peer{peer(1)})
	zo.Avoid(peer(2), peer(1).Address, testStart)
	zo.Confirm(peer(1).Address)
	if _, ok := zo.Source(peer(2), testStart); !ok {
		t.Error("a node that reads the log again is still avoided")
	}
}

func TestPeersOfLostAgentsAreForgotten(t *testing.T) {
	zo := &Zone{}
	zo.ApplyListing("agent-1", []Peer{peer(1)})
	zo.ApplyListing("agent-2", []Peer{peer(2)})
	zo.RemoveListing("agent-1")
	if so, ok := zo.Source(peer(3), testStart); !ok || so != peer(2) {
		t.Errorf("source %+v, want the second node", so)
	}
}

func TestSourceReadsBeforeSubscribersReachTheirLimit(t *testing.T) {
	sc := Schedule{Limit: 2 * time.Second, SourceLimit: time.Second, SubscriberLimit: 1500 * time.Millisecond}
	for role, want := range map[Role]time.Duration{Alone: 2 * time.Second, Source: time.Second, Subscriber: 1500 * time.Millisecond} {
		if got := sc.NextRead(role, testStart).Sub(testStart); got != want {
			t.Errorf("%s reads after %s, want %s", role, got, want)
		}
	}
}
