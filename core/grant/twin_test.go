package grant

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// twinSlots is the number of adapter slots of the engine process of the test.
const twinSlots = 2

// twinProcess is an engine process that two agents give orders to. It counts what it carries out, refuses an order that names
// another count, and answers that an adapter is in place which it has.
type twinProcess struct {
	loaded, loading    map[string]int
	sequence           int64
	accepted, conflict int
}

// order handles an order as it arrives.
func (tp *twinProcess) order(or *Order) Result {
	name := or.Key.Adapter
	present := tp.loaded[name]+tp.loading[name] > 0
	switch {
	case or.Sequence != tp.sequence || or.Operation == LoadAdapter && !present && len(tp.loaded)+len(tp.loading) >= twinSlots:
		tp.conflict++
		return Conflict
	case present == (or.Operation == LoadAdapter):
		return InEffect
	}
	tp.sequence++
	tp.accepted++
	if or.Operation == UnloadAdapter {
		delete(tp.loaded, name)
		delete(tp.loading, name)
		return InEffect
	}
	tp.loading[name] = 1
	return Accepted
}

// An agent that stood still, or was cut off, may go on beside the one that has taken its place, with an order that it decided on
// before. Each names the count of orders that it knows of, so that an order of the one that has missed another's is refused. Neither
// may keep a wrong belief from that: with a count ahead of the engine's it would ignore all further reports.
func TestTwoAgentsOfOneEngineEndWithItsStateWhateverTheyOrdered(t *testing.T) {
	accepted, conflicts := 0, 0
	for seed := range uint64(300) {
		rd := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // the draw must be the same on each run
		tp := &twinProcess{loaded: map[string]int{}, loading: map[string]int{}}
		agents := []*driver{newDriver(t, twinSlots), newDriver(t, twinSlots)}
		inspect := func(dr *driver) {
			dr.loaded, dr.loading, dr.sequence = tp.loaded, tp.loading, tp.sequence
			dr.answerInspection()
		}
		deliver := func(dr *driver) {
			or := dr.pendingOrder
			dr.pendingOrder = nil
			re := tp.order(or)
			if rd.IntN(4) == 0 {
				re = Lost
			}
			dr.record(dr.en.OrderEnded(*or, re, dr.now))
		}
		for step := range 200 {
			dr := agents[rd.IntN(len(agents))]
			dr.now = testStart.Add(time.Minute + time.Duration(step)*100*time.Millisecond)
			switch draw := rd.IntN(4); {
			case draw == 0:
				dr.reserve(fmt.Sprintf("r%d", step), fmt.Sprintf("a%d", rd.IntN(4)), 0, false)
			case draw == 1 && dr.pendingOrder != nil:
				deliver(dr)
			case draw == 2:
				inspect(dr)
			case draw == 3 && len(dr.granted) > 0:
				dr.record(dr.en.Release(dr.granted[0], 0, dr.now))
				dr.granted = dr.granted[1:]
			}
			if step%10 == 0 {
				for adapter := range tp.loading {
					tp.loaded[adapter] = 1
				}
				clear(tp.loading)
			}
		}
		for _, dr := range agents {
			dr.now = dr.now.Add(time.Minute)
			dr.record(dr.en.Tick(dr.now))
			for dr.pendingOrder != nil {
				deliver(dr)
			}
			inspect(dr)
			if ahead := dr.en.sequence - tp.sequence; ahead != 0 {
				t.Errorf("seed %d: an agent is %d orders ahead of its engine after it has inspected it", seed, ahead)
			}
		}
		accepted, conflicts = accepted+tp.accepted, conflicts+tp.conflict
	}
	t.Logf("%d orders accepted, %d refused", accepted, conflicts)
	if accepted < 1000 || conflicts < 100 {
		t.Error("too few orders met")
	}
}
