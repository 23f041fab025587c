package main

import (
	"context"
	"errors"
	"strings"
	"time"
)

const (
	versionTime = 5 * time.Second
	slowFactor  = 5
	slowTime    = 6500 * time.Millisecond
)

// replaceFirst returns settings of a process that starts again.
func replaceFirst(settings string) string {
	return strings.Replace(settings, "first_start: true", "first_start: false", 1)
}

// playSettled names a new version of an adapter while one of seven engines turns slow. The rule VERSION: no request may begin on
// an older version of its adapter later than version_ms after a newer one was acknowledged.
func playSettled(sc *scene) (bool, error) {
	pl := &Plan{Entries: []int{1}, Engines: []int{1, 2, 3, 4, 5, 6, 7}, Slots: 8, AdapterSlots: 6, Prefill: 100 * time.Millisecond, Event: 25 * time.Millisecond}
	if err := sc.begin(pl, streamRoute()); err != nil {
		return false, err
	}
	sy := sc.sy
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cs := &Callers{sy: sy, route: "pufi791", wait: 4 * time.Second}
	go cs.Steady(ctx, 12, func(int) string { return modelName + "/a1" }, 300, 20, 15000)
	time.Sleep(10 * time.Second)
	busiest := busiestEngine(sy.Engines, time.Now().Add(-4*time.Second))
	sy.Store.Put("keyed.op", "version/"+modelName+".a1", named{Model: modelName, Adapter: "a1", Version: 2})
	ack := time.Now()
	sc.record.Add("operator: version 2 of %s/a1 is acknowledged", modelName)
	time.Sleep(time.Second)
	if sc.trouble {
		busiest.SetSlow(slowFactor)
	}
	time.Sleep(slowTime)
	if sc.trouble {
		busiest.SetSlow(1)
	}
	time.Sleep(8 * time.Second)
	cancel()
	cs.wg.Wait()
	late, begun := 0, 0
	for _, en := range sy.Engines {
		for _, be := range en.Begun() {
			begun++
			if after := be.At.Sub(ack); be.Version < 2 && after > versionTime {
				late++
				sc.record.Add("late: %s begins on version %d at %s, %d ms after version 2 was acknowledged", be.Request, be.Version, be.Engine, after.Milliseconds())
			}
		}
	}
	sc.record.Add("%d requests have begun, %d of them late on the older version", begun, late)
	if begun < 100 {
		return false, errors.New("too few requests have begun")
	}
	return late > 0, nil
}

// busiestEngine returns the engine at which most requests have begun since a time.
func busiestEngine(list []*Engine, since time.Time) *Engine {
	busiest, most := list[0], -1
	for _, en := range list {
		count := 0
		for _, be := range en.Begun() {
			if be.At.After(since) {
				count++
			}
		}
		if count > most {
			busiest, most = en, count
		}
	}
	return busiest
}
