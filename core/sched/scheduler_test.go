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

// driver feeds a scheduler with random events, simulates the engine and records the first
// violated invariant.
type driver struct {
	sc     *Scheduler
	random *rand.Rand
	now    time.Time
	// adapters maps each handle to the adapter that was loaded under it.
	adapters      map[string]conf.AdapterVersion
	usedHandles   map[string]bool
	loadedHandles map[string]bool
	// running maps attempts to the handles that they run on.
	running map[string]string
	// outcomes counts how often each attempt ended or was refused.
	outcomes      map[string]int
	requests      map[string]QueuedRequest
	pendingOrders []Action
	violation     string
}

// step generates one random event.
func (dr *driver) step(count int) {
	dr.now = dr.now.Add(time.Duration(dr.random.IntN(400)) * time.Millisecond)
	switch dr.random.IntN(6) {
	case 0, 1:
		qr := QueuedRequest{
			Attempt: fmt.Sprint(count), Urgency: dr.random.IntN(3), Alone: dr.random.IntN(8) == 0,
			Adapter:  conf.AdapterVersion{Adapter: fmt.Sprint("a", dr.random.IntN(4)), Version: 1 + dr.random.IntN(2)},
			Deadline: dr.now.Add(time.Duration(dr.random.IntN(5000)) * time.Millisecond),
		}
		dr.requests[qr.Attempt] = qr
		dr.check(dr.sc.Submit(qr, dr.now))
	case 2:
		for attempt := range dr.running {
			delete(dr.running, attempt)
			dr.outcomes[attempt]++
			dr.check(dr.sc.RequestEnded(attempt, dr.now))
			break
		}
	case 3, 4:
		dr.answerOldestOrder()
	case 5:
		dr.check(dr.sc.Tick(dr.now))
		loadedHandles := make([]Held, 0, len(dr.loadedHandles))
		for handle := range dr.loadedHandles {
			loadedHandles = append(loadedHandles, Held{Handle: handle, Running: dr.count(handle), Ready: true})
		}
		dr.check(dr.sc.InspectionDone(loadedHandles, 0, dr.now))
	}
}

// count returns the number of requests that run on a handle.
func (dr *driver) count(handle string) int {
	count := 0
	for _, on := range dr.running {
		if on == handle {
			count++
		}
	}
	return count
}

// answerOldestOrder carries out the oldest order and answers it, rejects it or loses its
// answer.
func (dr *driver) answerOldestOrder() {
	if len(dr.pendingOrders) == 0 {
		return
	}
	ac := dr.pendingOrders[0]
	dr.pendingOrders = dr.pendingOrders[1:]
	result := Result(dr.random.IntN(4))
	if ac.Load != nil {
		if result == Done || result == Lost && dr.random.IntN(2) == 0 {
			dr.loadedHandles[ac.Load.Handle] = true
		}
		dr.check(dr.sc.LoadEnded(ac.Load.Handle, result, dr.now))
		return
	}
	if result == Done || result == Lost && dr.random.IntN(2) == 0 {
		if dr.count(ac.Unload.Handle) > 0 {
			dr.violation = "unloaded a handle that a request runs on"
		}
		delete(dr.loadedHandles, ac.Unload.Handle)
	}
	dr.check(dr.sc.UnloadEnded(ac.Unload.Handle, result, dr.now))
}

// check records actions and tests them against the invariants.
func (dr *driver) check(actions []Action) {
	for _, ac := range actions {
		switch {
		case ac.Forward != nil:
			qr := dr.requests[ac.Forward.Attempt]
			switch {
			case dr.adapters[ac.Forward.Handle] != qr.Adapter:
				dr.violation = "forwarded a request to the handle of another adapter"
			case !dr.loadedHandles[ac.Forward.Handle]:
				dr.violation = "forwarded a request to a handle that is not loaded"
			case qr.Alone && len(dr.running) > 0:
				dr.violation = "forwarded a request that must run alone beside others"
			}
			dr.running[qr.Attempt] = ac.Forward.Handle
		case ac.Refuse != nil:
			dr.outcomes[ac.Refuse.Attempt]++
		case ac.Load != nil:
			if dr.usedHandles[ac.Load.Handle] {
				dr.violation = "ordered two loads under one handle"
			}
			dr.usedHandles[ac.Load.Handle] = true
			dr.adapters[ac.Load.Handle] = ac.Load.Adapter
			dr.pendingOrders = append(dr.pendingOrders, ac)
		case ac.Unload != nil:
			if dr.count(ac.Unload.Handle) > 0 {
				dr.violation = "ordered the unload of a handle that a request runs on"
			}
			dr.pendingOrders = append(dr.pendingOrders, ac)
		}
	}
}

func TestRandomEventsViolateNoInvariant(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("pinned handles are never unloaded, handles are never reused, exclusive requests run alone and no attempt ends twice", prop.ForAll(func(seed uint64, slots, places int) string {
		dr := &driver{
			sc: New(Settings{Boot: "boot", Slots: slots, Places: places}), random: rand.New(rand.NewPCG(seed, 1)),
			now: time.Unix(0, 0), adapters: map[string]conf.AdapterVersion{}, usedHandles: map[string]bool{}, loadedHandles: map[string]bool{},
			running: map[string]string{}, outcomes: map[string]int{}, requests: map[string]QueuedRequest{},
		}
		dr.check(dr.sc.InspectionDone(nil, 0, dr.now))
		for count := range 400 {
			dr.step(count)
			if dr.violation != "" {
				return dr.violation
			}
		}
		for attempt, times := range dr.outcomes {
			if times > 1 {
				return "attempt " + attempt + " ended twice"
			}
		}
		return ""
	}, gen.UInt64(), gen.IntRange(1, 4), gen.IntRange(1, 4)))
	properties.TestingRun(t)
}

func TestRequestsForOneAdapterShareOneLoad(t *testing.T) {
	sc := New(Settings{Boot: "boot", Slots: 2, Places: 8})
	now := time.Unix(0, 0)
	sc.InspectionDone(nil, 0, now)
	loads := 0
	for ix := range 5 {
		for _, ac := range sc.Submit(QueuedRequest{Attempt: fmt.Sprint(ix), Adapter: conf.AdapterVersion{Adapter: "a", Version: 1}, Deadline: now.Add(time.Minute)}, now) {
			if ac.Load != nil {
				loads++
			}
		}
	}
	if loads != 1 {
		t.Fatalf("%d loads were ordered for one adapter", loads)
	}
}

func TestLeavingSchedulerRefusesQueuedAndNewRequests(t *testing.T) {
	sc := New(Settings{Boot: "boot", Slots: 1, Places: 1})
	now := time.Unix(0, 0)
	sc.Submit(QueuedRequest{Attempt: "queued", Adapter: conf.AdapterVersion{Adapter: "a", Version: 1}, Deadline: now.Add(time.Minute)}, now)
	actions := sc.StopAccepting()
	if len(actions) != 1 || actions[0].Refuse == nil || actions[0].Refuse.Reason != ReasonAgentLeaving {
		t.Fatalf("the queued request was not refused: %+v", actions)
	}
	actions = sc.Submit(QueuedRequest{Attempt: "new", Deadline: now.Add(time.Minute)}, now)
	if len(actions) != 1 || actions[0].Refuse == nil {
		t.Fatalf("a new request was not refused: %+v", actions)
	}
}

func TestLongWaitingBackgroundRequestRunsBeforeNewUrgentOne(t *testing.T) {
	sc := New(Settings{Boot: "boot", Places: 1})
	now := time.Unix(0, 0)
	late := now.Add(time.Hour)
	sc.Submit(QueuedRequest{Attempt: "first", Deadline: late}, now)
	sc.Submit(QueuedRequest{Attempt: "background", Urgency: 0, Deadline: late}, now)
	now = now.Add(3 * agingStep)
	sc.Submit(QueuedRequest{Attempt: "urgent", Urgency: 2, Deadline: late}, now)
	actions := sc.RequestEnded("first", now)
	if len(actions) != 1 || actions[0].Forward == nil || actions[0].Forward.Attempt != "background" {
		t.Fatalf("the background request did not run first after three aging steps: %+v", actions)
	}
}
