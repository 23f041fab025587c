package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/bambooladder/bambooladder/core/conf"
)

// driver drives a scheduler with random events and keeps what an engine would hold.
type driver struct {
	sc       *Scheduler
	rd       *rand.Rand
	now      time.Time
	adapters map[string]conf.AdapterVersion
	used     map[string]bool
	held     map[string]bool
	running  map[string]string
	ended    map[string]int
	items    map[string]Item
	orders   []Action
	fault    string
}

// step causes one random event.
func (dr *driver) step(count int) {
	dr.now = dr.now.Add(time.Duration(dr.rd.IntN(400)) * time.Millisecond)
	switch dr.rd.IntN(6) {
	case 0, 1:
		it := Item{
			Attempt: fmt.Sprint(count), Urgency: dr.rd.IntN(3), Alone: dr.rd.IntN(8) == 0,
			Adapter:  conf.AdapterVersion{Adapter: fmt.Sprint("a", dr.rd.IntN(4)), Version: 1 + dr.rd.IntN(2)},
			Deadline: dr.now.Add(time.Duration(dr.rd.IntN(5000)) * time.Millisecond),
		}
		dr.items[it.Attempt] = it
		dr.take(dr.sc.Submit(it, dr.now))
	case 2:
		for attempt := range dr.running {
			delete(dr.running, attempt)
			dr.ended[attempt]++
			dr.take(dr.sc.Ended(attempt, dr.now))
			break
		}
	case 3, 4:
		dr.answerOrder()
	case 5:
		dr.take(dr.sc.Tick(dr.now))
		held := make([]Held, 0, len(dr.held))
		for handle := range dr.held {
			held = append(held, Held{Handle: handle, Running: dr.count(handle), Ready: true})
		}
		dr.take(dr.sc.Inspected(held, 0, dr.now))
	}
}

// count counts the requests on a handle.
func (dr *driver) count(handle string) int {
	count := 0
	for _, on := range dr.running {
		if on == handle {
			count++
		}
	}
	return count
}

// answerOrder carries out the oldest order and answers it, or loses its answer.
func (dr *driver) answerOrder() {
	if len(dr.orders) == 0 {
		return
	}
	ac := dr.orders[0]
	dr.orders = dr.orders[1:]
	result := Result(dr.rd.IntN(4))
	if ac.Load != nil {
		if result == Done || result == Lost && dr.rd.IntN(2) == 0 {
			dr.held[ac.Load.Handle] = true
		}
		dr.take(dr.sc.Loaded(ac.Load.Handle, result, dr.now))
		return
	}
	if result == Done || result == Lost && dr.rd.IntN(2) == 0 {
		if dr.count(ac.Unload.Handle) > 0 {
			dr.fault = "unloaded a handle that serves a request"
		}
		delete(dr.held, ac.Unload.Handle)
	}
	dr.take(dr.sc.Unloaded(ac.Unload.Handle, result, dr.now))
}

// take checks actions against what must hold.
func (dr *driver) take(actions []Action) {
	for _, ac := range actions {
		switch {
		case ac.Forward != nil:
			it := dr.items[ac.Forward.Attempt]
			switch {
			case dr.adapters[ac.Forward.Handle] != it.Adapter:
				dr.fault = "forwarded to another adapter"
			case !dr.held[ac.Forward.Handle]:
				dr.fault = "forwarded to a handle that is not loaded"
			case it.Alone && len(dr.running) > 0:
				dr.fault = "did not run apart"
			}
			dr.running[it.Attempt] = ac.Forward.Handle
		case ac.Refuse != nil:
			dr.ended[ac.Refuse.Attempt]++
		case ac.Load != nil:
			if dr.used[ac.Load.Handle] {
				dr.fault = "used a handle twice"
			}
			dr.used[ac.Load.Handle] = true
			dr.adapters[ac.Load.Handle] = ac.Load.Adapter
			dr.orders = append(dr.orders, ac)
		case ac.Unload != nil:
			if dr.count(ac.Unload.Handle) > 0 {
				dr.fault = "ordered the eviction of an adapter that serves a request"
			}
			dr.orders = append(dr.orders, ac)
		}
	}
}

func TestSchedulerNeverEvictsAServingAdapter(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("pins, handles and outcomes hold over any events", prop.ForAll(func(seed uint64, slots, places int) string {
		dr := &driver{
			sc: New(Settings{Boot: "boot", Slots: slots, Places: places}), rd: rand.New(rand.NewPCG(seed, 1)),
			now: time.Unix(0, 0), adapters: map[string]conf.AdapterVersion{}, used: map[string]bool{}, held: map[string]bool{},
			running: map[string]string{}, ended: map[string]int{}, items: map[string]Item{},
		}
		dr.take(dr.sc.Inspected(nil, 0, dr.now))
		for count := range 400 {
			dr.step(count)
			if dr.fault != "" {
				return dr.fault
			}
		}
		for attempt, times := range dr.ended {
			if times > 1 {
				return "attempt " + attempt + " ended twice"
			}
		}
		return ""
	}, gen.UInt64(), gen.IntRange(1, 4), gen.IntRange(1, 4)))
	properties.TestingRun(t)
}

func TestSchedulerCoalescesLoads(t *testing.T) {
	sc := New(Settings{Boot: "boot", Slots: 2, Places: 8})
	now := time.Unix(0, 0)
	sc.Inspected(nil, 0, now)
	loads := 0
	for ix := range 5 {
		for _, ac := range sc.Submit(Item{Attempt: fmt.Sprint(ix), Adapter: conf.AdapterVersion{Adapter: "a", Version: 1}, Deadline: now.Add(time.Minute)}, now) {
			if ac.Load != nil {
				loads++
			}
		}
	}
	if loads != 1 {
		t.Fatalf("%d loads for one adapter", loads)
	}
}

func TestSchedulerLeaving(t *testing.T) {
	sc := New(Settings{Boot: "boot", Slots: 1, Places: 1})
	now := time.Unix(0, 0)
	sc.Submit(Item{Attempt: "queued", Adapter: conf.AdapterVersion{Adapter: "a", Version: 1}, Deadline: now.Add(time.Minute)}, now)
	actions := sc.Leave()
	if len(actions) != 1 || actions[0].Refuse == nil || actions[0].Refuse.Reason != ReasonLeaving {
		t.Fatalf("queued request on leaving: %+v", actions)
	}
	actions = sc.Submit(Item{Attempt: "new", Deadline: now.Add(time.Minute)}, now)
	if len(actions) != 1 || actions[0].Refuse == nil {
		t.Fatalf("new request while leaving: %+v", actions)
	}
}

func TestSchedulerAgeing(t *testing.T) {
	sc := New(Settings{Boot: "boot", Places: 1})
	now := time.Unix(0, 0)
	late := now.Add(time.Hour)
	sc.Submit(Item{Attempt: "first", Deadline: late}, now)
	sc.Submit(Item{Attempt: "background", Urgency: 0, Deadline: late}, now)
	now = now.Add(3 * ageingStep)
	sc.Submit(Item{Attempt: "urgent", Urgency: 2, Deadline: late}, now)
	actions := sc.Ended("first", now)
	if len(actions) != 1 || actions[0].Forward == nil || actions[0].Forward.Attempt != "background" {
		t.Fatalf("after three steps the background request goes first, got %+v", actions)
	}
}
