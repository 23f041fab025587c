package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bambooladder/bambooladder/review/sim"
)

const (
	refusedServers = 2
	refusedEntries = 2
	refusedSlots   = 6
	refusedQueue   = 4
	refusedWork    = 15 * time.Millisecond
	// refusedDelay is that of the links between zones on the sheet.
	refusedDelay = 900 * time.Microsecond
	// refusedExtra is the share of the answers that come a second time while a disruption lasts, for refusedLength in each
	// refusedCycle.
	refusedExtra  = 0.03
	refusedLength = 5 * time.Second
	refusedCycle  = 6 * time.Second
	// refusedTime is how long calls are sent by refusedCallers, each of which pauses after a refusal.
	refusedTime    = 80 * time.Second
	refusedCallers = 50
	refusedPause   = 400 * time.Millisecond
)

// playRefused keeps the servers of a service full with unsafe calls while some of their answers come a second time. It counts the
// calls that run although their callers are told that they have not, or that run more than once.
func playRefused(ctx context.Context, pl *play) (int, error) {
	if err := pl.publish(time.Second, drainMemory); err != nil {
		return 0, err
	}
	servers := make([]*sim.Crowded, 0, refusedServers)
	for number := range refusedServers {
		se, err := sim.StartCrowded(pl.re, pl.sy.Store, fmt.Sprintf("i-orders-%d", number+1), pl.sy.IP(200+number), sim.CrowdedOptions{
			Service: ordersName, Slots: refusedSlots, Queue: refusedQueue, Work: refusedWork, Delay: refusedDelay, Seed: uint64(1 + number),
		})
		if err != nil {
			return 0, err
		}
		pl.sy.OnClose(se.Close)
		servers = append(servers, se)
	}
	if _, err := pl.startEngine(drainMemory, time.Second); err != nil {
		return 0, err
	}
	if err := pl.sy.StartEntries(ctx, refusedEntries); err != nil {
		return 0, err
	}
	for entry := range refusedEntries {
		if err := pl.awaitServed(ctx, entry, order); err != nil {
			return 0, err
		}
	}
	time.Sleep(settleTime)
	loadCtx, stop := context.WithTimeout(ctx, refusedTime)
	defer stop()
	wg := sync.WaitGroup{}
	if pl.trouble {
		wg.Go(func() { pl.repeatAnswers(loadCtx, servers[0]) })
	}
	results := pl.sendOrders(loadCtx)
	wg.Wait()
	for _, se := range servers {
		if err := se.WaitIdle(ctx); err != nil {
			return 0, err
		}
	}
	return pl.countRefused(servers, results), ctx.Err()
}

// repeatAnswers makes some answers of a server come a second time, from time to time until the context ends.
func (pl *play) repeatAnswers(ctx context.Context, se *sim.Crowded) {
	for ctx.Err() == nil {
		for _, share := range []float64{refusedExtra, 0} {
			se.SetExtraShare(share)
			wait := refusedLength
			if share == 0 {
				wait = refusedCycle - refusedLength
			}
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
	}
}

// sendOrders sends calls through all entry nodes until the context ends, and returns what their callers saw.
func (pl *play) sendOrders(ctx context.Context) []*sim.Result {
	mu, wg, number := sync.Mutex{}, sync.WaitGroup{}, atomic.Int64{}
	all := []*sim.Result{}
	for caller := range refusedCallers {
		wg.Go(func() {
			ch := sim.NewChannel(pl.sy.Entry(caller % refusedEntries).Caller)
			defer ch.Close()
			for ctx.Err() == nil {
				rt := ch.Send(context.WithoutCancel(ctx), pl.re, order(fmt.Sprintf("call-%d", number.Add(1))))
				mu.Lock()
				all = append(all, rt)
				mu.Unlock()
				if rt.Status != http.StatusOK {
					time.Sleep(refusedPause)
				}
			}
		})
	}
	wg.Wait()
	return all
}

// countRefused counts the calls that ran although they were refused, or more than once.
func (pl *play) countRefused(servers []*sim.Crowded, results []*sim.Result) int {
	runs := map[string]int{}
	for _, se := range servers {
		for _, ar := range se.Arrivals() {
			runs[ar.Request]++
		}
	}
	broken := 0
	for _, rt := range results {
		count := runs[rt.Call.ID]
		if count > 1 {
			broken++
			pl.re.Printf("RULE TWICE: %s ran %d times, its caller saw %d", rt.Call.ID, count, rt.Status)
		}
		if count > 0 && (rt.Status == http.StatusServiceUnavailable || rt.Status == http.StatusTooManyRequests) {
			broken++
			pl.re.Printf("RULE REFUSED: %s has run, its caller saw %d", rt.Call.ID, rt.Status)
		}
	}
	return broken
}
