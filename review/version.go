package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/bambooladder/bambooladder/review/sim"
)

const (
	// versionMemory is the engine's memory: fifteen requests run at once.
	versionMemory = 15_000
	versionPrompt = 900
	versionOutput = 100
	// versionCallPeriod is the time between two calls.
	versionCallPeriod = 200 * time.Millisecond
	versionEvent      = 100 * time.Millisecond
	versionPatience   = 4 * time.Second
	versionRounds     = 4
	versionRoundTime  = 18 * time.Second
	popularAdapter    = "a1"
)

// playVersion keeps one engine at the limit of its memory and slots, with streams of 5 s, half of them with one adapter,
// of which the operator names a new version from time to time. It counts the requests that begin on an older
// version later than the rule allows.
func playVersion(ctx context.Context, pl *play) (int, error) {
	if err := pl.publish(time.Second, versionMemory); err != nil {
		return 0, err
	}
	en, err := pl.startEngine(versionMemory, versionEvent)
	if err != nil {
		return 0, err
	}
	if err := pl.sy.StartEntries(ctx, 1); err != nil {
		return 0, err
	}
	if err := pl.awaitServed(ctx, 0, func(id string) *sim.Call { return stream(id, popularAdapter, 10, 10, versionPatience) }); err != nil {
		return 0, err
	}
	loadCtx, stop := context.WithCancel(ctx)
	wg := sync.WaitGroup{}
	wg.Go(func() { pl.callPeriodically(loadCtx, &wg) })
	acknowledged := pl.nameVersions(loadCtx, en)
	stop()
	wg.Wait()
	return pl.countLateVersions(en, acknowledged), ctx.Err()
}

// callPeriodically sends calls until the context ends, every second one with the popular adapter.
func (pl *play) callPeriodically(ctx context.Context, wg *sync.WaitGroup) {
	tick := time.NewTicker(versionCallPeriod)
	defer tick.Stop()
	for number := 0; ; number++ {
		adapter := popularAdapter
		if number%2 == 1 {
			adapter = fmt.Sprintf("a%d", 2+number/2%(adapterSlots-1))
		}
		ca := stream(fmt.Sprintf("call-%d", number), adapter, versionPrompt, versionOutput, versionPatience)
		wg.Go(func() { sim.Send(ctx, pl.re, pl.sy.Entry(0).Caller, ca) })
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// nameVersions names a new version of the popular adapter in each round, unless there shall be no trouble, and
// returns when the store acknowledged them.
func (pl *play) nameVersions(ctx context.Context, en *sim.Engine) map[int]time.Time {
	acknowledged := map[int]time.Time{}
	for version := 2; version < 2+versionRounds; version++ {
		select {
		case <-ctx.Done():
			return acknowledged
		case <-time.After(versionRoundTime):
		}
		if !pl.trouble {
			continue
		}
		en.Announce(popularAdapter, version)
		if _, err := pl.sy.Store.PutJSON(sim.TopicOperators, "version/"+modelName+"."+popularAdapter, map[string]any{
			"model": modelName, "adapter": popularAdapter, fieldVersion: version,
		}); err != nil {
			pl.re.Printf("name a version: %v", err)
			continue
		}
		acknowledged[version] = time.Now()
		pl.re.Printf("the store has acknowledged %s@%d", popularAdapter, version)
	}
	select {
	case <-ctx.Done():
	case <-time.After(versionRoundTime / 2):
	}
	return acknowledged
}

// countLateVersions counts the requests that began on an older version later than version_ms after a newer one was
// acknowledged.
func (pl *play) countLateVersions(en *sim.Engine, acknowledged map[int]time.Time) int {
	broken := 0
	for _, ar := range en.Arrivals() {
		begun := 0
		if _, err := fmt.Sscanf(ar.Version, popularAdapter+"@%d", &begun); err != nil {
			continue
		}
		late := time.Duration(0)
		for version, at := range acknowledged {
			if version > begun {
				late = max(late, ar.At.Sub(at))
			}
		}
		if late > sim.VersionTime {
			broken++
			pl.re.Printf("RULE VERSION: %s began on %s %.3f s after a newer version was acknowledged, allowed are %v", ar.Request, ar.Version, late.Seconds(), sim.VersionTime)
		}
	}
	return broken
}
