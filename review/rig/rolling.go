package main

import (
	"context"
	"errors"
	"syscall"
	"time"
)

const (
	configApplyTime  = 2500 * time.Millisecond
	stableWindowTime = 4 * time.Second
)

// playRolling stops and starts the entry nodes in turn, after the operator has named a version of each adapter over time, and then
// changes the manifest. The rule CONFIG: no request sent later than config_apply_ms after the acknowledgement of a version is
// refused with 404 though its route is there.
func playRolling(sc *scene) (bool, error) {
	pl := &Plan{Entries: []int{1, 2, 3}, Engines: []int{1, 2, 3}, Slots: 64, AdapterSlots: 6, Prefill: 60 * time.Millisecond, Event: 15 * time.Millisecond}
	if err := sc.begin(pl, streamRoute()); err != nil {
		return false, err
	}
	sy := sc.sy
	sy.Store.Delay = storeTime + 2*linkTime
	sy.Store.Page = fromEnvironment("PAGE", pageRecords)
	sc.nameAll(fromEnvironment("ADAPTERS", namedAdapters))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	old, added := &Callers{sy: sy, route: "pufi791", wait: 4 * time.Second}, &Callers{sy: sy, route: "later01", wait: 4 * time.Second}
	base := func(int) string { return modelName }
	go old.Steady(ctx, 10, base, 1400, 10, 5000)
	time.Sleep(8 * time.Second)
	if sc.trouble {
		for _, pr := range sy.entries {
			sy.signal(pr, syscall.SIGTERM)
			<-pr.gone
			time.Sleep(300 * time.Millisecond)
			pr.settings = replaceFirst(pr.settings)
			if err := sy.start(pr); err != nil {
				return false, err
			}
			time.Sleep(6 * time.Second)
		}
	}
	time.Sleep(stableWindowTime)
	route := streamRoute()
	route["name"], route["path_prefix"] = "r-later", "/later01/"
	sy.Configure(3, streamRoute(), route)
	time.Sleep(configApplyTime + 100*time.Millisecond)
	applied := time.Now()
	go added.Steady(ctx, 10, base, 1400, 10, 5000)
	time.Sleep(12 * time.Second)
	cancel()
	old.wg.Wait()
	added.wg.Wait()
	sent, missing := 0, 0
	for _, an := range added.All() {
		sent++
		if an.Status == 404 {
			missing++
		}
	}
	before := share(old.All(), applied, time.Now())
	sc.record.Add("sent on the added route later than config_apply_ms: %d, refused with 404: %d; served on the old route meanwhile: %d of %d", sent, missing, before.served, before.sent)
	if sent < 50 || before.of() < servedMin {
		return false, errors.New("too few requests were sent or served")
	}
	return missing > 0, nil
}
