package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/bambooladder/bambooladder/review/sim"
)

const (
	drainMemory = 10_000
	drainWork   = 60 * time.Millisecond
	// drainServers is the number of plain servers, drainRounds how many of them leave one after the other.
	drainServers = 4
	drainRounds  = 3
	// drainBusyPeriod is the time between two calls to the entry node that most callers use.
	drainBusyPeriod = 20 * time.Millisecond
	// drainQuietFrom is the time from the record of a leaving server to the next call through the other entry node, and
	// drainQuietCalls the number of calls that it then gets at once.
	drainQuietFrom  = sim.DrainTime + 700*time.Millisecond
	drainQuietCalls = 6
	// drainExit is how long a leaving server serves on after the calls through the quiet entry node were sent.
	drainExit = drainWork / 2
)

// playDrain drains plain servers one after the other while one entry node gets most of the calls and the other one of the
// same zone few. It counts the requests that reach a leaving server later than drain_ms after the store accepted its
// record.
func playDrain(ctx context.Context, pl *play) (int, error) {
	if err := pl.publish(time.Second, drainMemory); err != nil {
		return 0, err
	}
	if _, err := pl.startEngine(drainMemory, 100*time.Millisecond); err != nil {
		return 0, err
	}
	servers := make([]*sim.Plain, 0, drainServers)
	for number := range drainServers {
		se, err := pl.startPlain(number+1, drainWork)
		if err != nil {
			return 0, err
		}
		servers = append(servers, se)
	}
	if err := pl.sy.StartEntries(ctx, 2); err != nil {
		return 0, err
	}
	for entry := range 2 {
		if err := pl.awaitServed(ctx, entry, order); err != nil {
			return 0, err
		}
	}
	time.Sleep(settleTime)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	wg := sync.WaitGroup{}
	wg.Go(func() { pl.orderPeriodically(loadCtx, &wg) })
	broken := 0
	for round := range drainRounds {
		time.Sleep(settleTime)
		late, err := pl.drainOne(ctx, servers[round], round)
		if err != nil {
			return 0, err
		}
		broken += late
	}
	stop()
	wg.Wait()
	return broken, ctx.Err()
}

// orderPeriodically sends calls through the first entry node until the context ends.
func (pl *play) orderPeriodically(ctx context.Context, wg *sync.WaitGroup) {
	tick := time.NewTicker(drainBusyPeriod)
	defer tick.Stop()
	for number := 0; ; number++ {
		ca := order(fmt.Sprintf("busy-%d", number))
		wg.Go(func() { sim.Send(context.WithoutCancel(ctx), pl.re, pl.sy.Entry(0).Caller, ca) })
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// drainOne drains one server, unless there shall be no trouble, and counts the requests that reached it too late.
func (pl *play) drainOne(ctx context.Context, se *sim.Plain, round int) (int, error) {
	acknowledged := time.Now()
	if pl.trouble {
		var err error
		if acknowledged, err = se.Leave(); err != nil {
			return 0, err
		}
	}
	time.Sleep(drainQuietFrom)
	wg := sync.WaitGroup{}
	for number := range drainQuietCalls {
		wg.Go(func() { sim.Send(ctx, pl.re, pl.sy.Entry(1).Caller, order(fmt.Sprintf("quiet-%d-%d", round, number))) })
	}
	time.Sleep(drainExit)
	if !pl.trouble {
		wg.Wait()
		return 0, nil
	}
	se.Exit()
	wg.Wait()
	broken := 0
	for _, ar := range se.Arrivals() {
		if late := ar.At.Sub(acknowledged); late > sim.DrainTime {
			broken++
			pl.re.Printf("RULE DRAIN: %s reached %s %.3f s after the store accepted that it is draining, allowed are %v", ar.Request, ar.Server, late.Seconds(), sim.DrainTime)
		}
	}
	return broken, nil
}
