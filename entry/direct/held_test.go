package direct

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/bambooladder/bambooladder/entry/internal/memory"
)

// Whatever is held and released, neither all answers together nor a single one exceed their bounds, and
// nothing is left once all of it is released.
func TestHeldBytesStayWithinTheirBounds(t *testing.T) {
	const eachMax, allMax, answers = 100, 250, 4
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("within the bounds", prop.ForAll(func(sizes []int) string {
		hb, holds := heldBytes{eachMax: eachMax, allMax: allMax}, [answers]int{}
		for step, size := range sizes {
			ix := step % answers
			switch {
			case size == 0:
				hb.release(holds[ix])
				holds[ix] = 0
			case hb.take(size, holds[ix]):
				holds[ix] += size
			}
			sum := 0
			for _, count := range holds {
				if count > eachMax {
					return "an answer exceeds its bound"
				}
				sum += count
			}
			if sum > allMax || sum != hb.held {
				return "all answers exceed their bound, or are counted wrongly"
			}
		}
		return ""
	}, gen.SliceOf(gen.IntRange(0, 60))))
	properties.TestingRun(t)
}

func TestEventsCountOnlyBeyondTheirFreeSize(t *testing.T) {
	hb := heldBytes{eachMax: 3 * freeEventBytes, allMax: 4 * freeEventBytes}
	first, second := eventHold{hb: &hb}, eventHold{hb: &hb}
	for size := range 4 * freeEventBytes {
		if !first.allows(size) {
			t.Fatalf("an event of %d bytes is refused", size)
		}
	}
	if first.allows(4*freeEventBytes + 1) {
		t.Error("an event beyond the bound of an answer is allowed")
	}
	if !second.allows(2*freeEventBytes) || second.allows(2*freeEventBytes+1) {
		t.Error("want one step of the budget left for the second stream")
	}
	first.release()
	if !second.allows(2*freeEventBytes + 1) {
		t.Error("nothing is left after a release")
	}
}

// Answers are held within the budget of the node too, and the first part of a stream's buffer counts for it without failing.
func TestAnswersAndEventsCountForTheBudget(t *testing.T) {
	bu := &memory.Budget{}
	bu.SetBytes(2 * freeEventBytes)
	hb := heldBytes{budget: bu}
	streams := [3]eventHold{{hb: &hb}, {hb: &hb}, {hb: &hb}}
	for ix := range streams {
		if !streams[ix].allows(freeEventBytes) {
			t.Fatal("an event that every stream may have is refused")
		}
	}
	if held := bu.Stats().Held; held != 3*freeEventBytes {
		t.Errorf("%d bytes count for three buffers, want %d", held, 3*freeEventBytes)
	}
	if hb.take(1, 0) || streams[0].allows(freeEventBytes+1) {
		t.Error("more is held than the budget has")
	}
	for ix := range streams {
		streams[ix].release()
	}
	if !hb.take(2*freeEventBytes, 0) || hb.take(1, 0) {
		t.Error("want the whole budget for an answer after the streams have ended")
	}
	hb.release(2 * freeEventBytes)
	if held := bu.Stats().Held; held != 0 {
		t.Errorf("%d bytes count after all was released", held)
	}
}
