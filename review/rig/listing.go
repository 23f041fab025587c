package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"
)

const (
	// namedAdapters is the number of adapters of the site, pageRecords the size of the store's pages in its file.
	namedAdapters = 3000
	pageRecords   = 50
	// storeTime is how long the store takes to answer, linkTime how long a message takes between two regions.
	storeTime = 4 * time.Millisecond
	linkTime  = 12 * time.Millisecond
)

// playListing kills all processes of the system once, after the operator has named a version of each adapter over time. The
// store stands in another region. The rule RECOVER: of the requests sent later than recover_s after the machines are back, a
// quarter must be served.
func playListing(sc *scene) (bool, error) {
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
	cs := &Callers{sy: sy, route: "pufi791", wait: 4 * time.Second}
	go cs.Steady(ctx, 20, func(ix int) string {
		if ix%2 == 0 {
			return modelName
		}
		return fmt.Sprintf("%s/a%d", modelName, 1+ix%8)
	}, 1400, 10, 5000)
	time.Sleep(12 * time.Second)
	faultAt := time.Now()
	if sc.trouble {
		sy.KillAll()
		time.Sleep(1200 * time.Millisecond)
		for _, pr := range sy.entries {
			pr.settings = replaceFirst(pr.settings)
		}
		if err := sy.StartAll(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	time.Sleep(recoverTime + 15*time.Second)
	cancel()
	cs.wg.Wait()
	before, after := share(cs.All(), time.Time{}, faultAt), share(cs.All(), back.Add(recoverTime), time.Now())
	sc.record.Add("served before the final fault: %d of %d; later than recover_s after the machines are back: %d of %d", before.served, before.sent, after.served, after.sent)
	if before.sent < 100 || after.sent < 100 || before.of() < servedMin {
		return false, errors.New("too few requests were sent, or served before the fault")
	}
	return after.of() < servedMin, nil
}

// fromEnvironment returns the number in a variable, for plays with other figures than those of the case.
func fromEnvironment(name string, usual int) int {
	if number, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return number
	}
	return usual
}

// nameAll names a version of each adapter.
func (sc *scene) nameAll(count int) {
	for number := range count {
		adapter := fmt.Sprintf("a%d", number+1)
		sc.sy.Store.Put("keyed.op", "version/"+modelName+"."+adapter, named{Model: modelName, Adapter: adapter, Version: 2})
		if number%100 == 0 {
			time.Sleep(250 * time.Millisecond)
		}
	}
	sc.record.Add("operator: version 2 of %d adapters is acknowledged; pages of %d records, an answer takes %s", count, sc.sy.Store.Page, sc.sy.Store.Delay)
}
