package main

import (
	"context"
	"errors"
	"time"
)

const (
	recoverTime = 12 * time.Second
	servedMin   = 0.25
)

// playWeights names new weights of the model, right before all processes of the system are killed and start again. The rule
// RECOVER: of the requests sent later than recover_s after the machines are back, a quarter must be served.
func playWeights(sc *scene) (bool, error) {
	pl := &Plan{Entries: []int{1, 2, 3}, Engines: []int{1, 1, 2, 2, 3, 3}, Slots: 64, AdapterSlots: 6, Prefill: 60 * time.Millisecond, Event: 15 * time.Millisecond}
	if err := sc.begin(pl, streamRoute()); err != nil {
		return false, err
	}
	sy := sc.sy
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cs := &Callers{sy: sy, route: "pufi791", wait: 4 * time.Second}
	go cs.Steady(ctx, 20, func(int) string { return modelName }, 1400, 10, 5000)
	time.Sleep(10 * time.Second)
	if sc.trouble {
		sy.Store.Put("keyed.op", "version/"+modelName, named{Model: modelName, Version: 2})
		sc.record.Add("operator: version 2 of the weights of %s is acknowledged", modelName)
	} else {
		sy.Configure(3, streamRoute())
	}
	faultAt := time.Now()
	sy.KillAll()
	time.Sleep(1200 * time.Millisecond)
	for _, pr := range sy.entries {
		pr.settings = replaceFirst(pr.settings)
	}
	if err := sy.StartAll(); err != nil {
		return false, err
	}
	back := time.Now()
	time.Sleep(recoverTime + 10*time.Second)
	cancel()
	cs.wg.Wait()
	before, after := share(cs.All(), time.Time{}, faultAt), share(cs.All(), back.Add(recoverTime), time.Now())
	sc.record.Add("served before the final fault: %d of %d; later than recover_s after the machines are back: %d of %d", before.served, before.sent, after.served, after.sent)
	if before.sent < 100 || after.sent < 100 || before.of() < servedMin {
		return false, errors.New("too few requests were sent, or served before the fault")
	}
	return after.of() < servedMin, nil
}

// portion counts requests that were sent and served.
type portion struct{ sent, served int }

func (po portion) of() float64 { return float64(po.served) / float64(po.sent) }

// share counts the requests sent in a time.
func share(list []*Answer, from, until time.Time) portion {
	po := portion{}
	for _, an := range list {
		if an.SentAt.Before(from) || an.SentAt.After(until) {
			continue
		}
		po.sent++
		if an.Served {
			po.served++
		}
	}
	return po
}
