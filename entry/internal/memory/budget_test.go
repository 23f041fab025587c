package memory

import (
	"context"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	testBudget = 4 << 20
	testHolds  = 6
)

// newHold returns a hold of a budget whose reading can be ended.
func newHold(bu *Budget) *Hold {
	_, cancel := context.WithCancelCause(context.Background())
	ho := &Hold{bu: bu, cancel: cancel}
	bu.begin(ho)
	return ho
}

// Whatever is reserved, grows, is displaced and released, the budget is kept, large bodies leave room for small ones, and
// nothing is left once all of it is released.
func TestBudgetIsKept(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("kept", prop.ForAll(func(steps []int) string {
		bu, holds, now := &Budget{bytesMax: testBudget}, [testHolds]*Hold{}, time.Now()
		for ix := range holds {
			holds[ix] = newHold(bu)
		}
		for _, step := range steps {
			ho, size := holds[step%testHolds], int64(step/testHolds)
			now = now.Add(time.Duration(step%100) * time.Millisecond)
			if step%5 == 0 {
				ho.Release()
				holds[step%testHolds] = newHold(bu)
			} else {
				bu.reserve(ho, size, now)
			}
			sum, large := int64(0), int64(0)
			for _, ho := range holds {
				sum, large = sum+ho.taken, large+ho.large
			}
			if sum != bu.held || large != bu.heldLarge || sum > testBudget || large > bu.largeMax() {
				return "the budget is exceeded or counted wrongly"
			}
		}
		for _, ho := range holds {
			ho.Release()
		}
		if bu.held != 0 || bu.heldLarge != 0 {
			return "something is left after all was released"
		}
		return ""
	}, gen.SliceOf(gen.IntRange(0, 2*testHolds*testBudget/3))))
	properties.TestingRun(t)
}

func TestSmallBodiesFitBesideLargeOnes(t *testing.T) {
	bu, now := &Budget{bytesMax: testBudget}, time.Now()
	for bu.reserve(newHold(bu), 512<<10, now) {
	}
	count := 0
	for bu.reserve(newHold(bu), smallBytes, now) {
		count++
	}
	if want := testBudget / 4 / smallBytes; count < want {
		t.Errorf("%d small bodies fit beside large ones, want %d", count, want)
	}
}

// Only a body that arrives too slowly loses its memory, and only when another needs it.
func TestOnlySlowBodiesAreDisplaced(t *testing.T) {
	bu, now := &Budget{bytesMax: testBudget}, time.Now()
	slow, fast := newHold(bu), newHold(bu)
	size := bu.largeMax() / 2
	if !bu.reserve(slow, size, now) || !bu.reserve(fast, size, now) {
		t.Fatal("the first two bodies do not fit")
	}
	if bu.reserve(newHold(bu), size, now.Add(startTime)) {
		t.Error("a body is displaced within its first second")
	}
	later := now.Add(startTime + 2*time.Second)
	fast.arrived.Store(2 * rateMin)
	slow.arrived.Store(2*rateMin - 1)
	if !bu.reserve(newHold(bu), size, later) || !slow.displaced || fast.displaced {
		t.Errorf("slow body displaced: %t, fast one: %t", slow.displaced, fast.displaced)
	}
	if bu.reserve(newHold(bu), size, later) {
		t.Error("a body that arrives fast enough is displaced")
	}
	if bu.reserve(slow, 1, later) {
		t.Error("a body that has lost its memory gets more")
	}
}

// Refused callers are told to come one after another, at the rate at which bodies have ended.
func TestRetryAfterFollowsTheTimeForWhichBodiesAreHeld(t *testing.T) {
	bu, now := &Budget{bytesMax: testBudget}, time.Now()
	size := bu.largeMax()
	for range 100 {
		ho := newHold(bu)
		bu.reserve(ho, size, now)
		now = now.Add(4 * time.Second)
		bu.leave(ho, ho.taken, now)
	}
	bu.reserve(newHold(bu), size, now)
	for number := 1; number <= 3; number++ {
		got, want := bu.retryAfter(size, now), time.Duration(number)*4*time.Second
		if got < want-200*time.Millisecond || got > want+200*time.Millisecond {
			t.Errorf("refusal %d names %v, want about %v", number, got, want)
		}
	}
	if got := bu.retryAfter(1000*size, now); got != retryAfterMax {
		t.Errorf("a wait of %v is named, want at most %v", got, retryAfterMax)
	}
}

// A body that is held for longer than those before raises the wait that is named.
func TestRetryAfterGrowsWhileNothingBecomesFree(t *testing.T) {
	bu, now := &Budget{bytesMax: testBudget}, time.Now()
	size := bu.largeMax()
	bu.reserve(newHold(bu), size, now)
	early := bu.retryAfter(size, now)
	bu.promisedUntil = time.Time{}
	if late := bu.retryAfter(size, now.Add(8*time.Second)); late < 7*time.Second || early > 2*firstHoldTime {
		t.Errorf("%v is named at first and %v after 8 s without a release", early, late)
	}
}
