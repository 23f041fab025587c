package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/bambooladder/bambooladder/review/sim"
)

const (
	// stopMemory is the engine's memory: stopStreams long streams fill it.
	stopMemory  = 10_000
	stopStreams = 5
	stopPrompt  = 1800
	stopOutput  = 200
	stopEvent   = 100 * time.Millisecond
	// stopPatience is that of callers whose route has a target of 2 s.
	stopPatience = 8 * time.Second
	// stopAfter is the time between the start of the long streams and the signal.
	stopAfter = 1500 * time.Millisecond
	stopCalls = 5
	// stopCallPeriod is the time between two calls to the entry node that stops.
	stopCallPeriod = 300 * time.Millisecond
)

// playStop fills an engine's memory with streams of 10 s through one entry node, stops the other one with SIGTERM
// and sends it requests meanwhile, before the balancer can have taken it out. They have to wait for memory. It
// counts the requests whose channel ends without an answer.
func playStop(ctx context.Context, pl *play) (int, error) {
	if err := pl.publish(2*time.Second, stopMemory); err != nil {
		return 0, err
	}
	en, err := pl.startEngine(stopMemory, stopEvent)
	if err != nil {
		return 0, err
	}
	if err := pl.sy.StartEntries(ctx, 2); err != nil {
		return 0, err
	}
	for entry := range 2 {
		if err := pl.awaitServed(ctx, entry, func(id string) *sim.Call { return stream(id, "a1", 10, 10, stopPatience) }); err != nil {
			return 0, err
		}
	}
	time.Sleep(settleTime)
	wg := sync.WaitGroup{}
	for number := range stopStreams {
		ca := stream(fmt.Sprintf("long-%d", number), "a1", stopPrompt, stopOutput, stopPatience)
		wg.Go(func() { sim.Send(ctx, pl.re, pl.sy.Entry(1).Caller, ca) })
	}
	time.Sleep(stopAfter)
	stopped := pl.sy.Entry(0)
	if pl.trouble {
		pl.re.Printf("%s gets SIGTERM", stopped.Name)
		if err := stopped.Signal(syscall.SIGTERM); err != nil {
			return 0, err
		}
	}
	results := make([]*sim.Result, stopCalls)
	for number := range stopCalls {
		time.Sleep(stopCallPeriod)
		wg.Go(func() {
			results[number] = sim.Send(ctx, pl.re, stopped.Caller, stream(fmt.Sprintf("call-%d", number), "a1", stopPrompt, stopOutput, stopPatience))
		})
	}
	wg.Wait()
	return pl.countUnanswered(en, results), ctx.Err()
}

// countUnanswered counts the requests that no server has begun to run, and whose channel the entry node has ended without
// a complete answer. Those that a server still runs at the end of the grace time are excused.
func (pl *play) countUnanswered(en *sim.Engine, results []*sim.Result) int {
	ran := map[string]bool{}
	for _, ar := range en.Arrivals() {
		ran[ar.Request] = true
	}
	broken := 0
	for _, rt := range results {
		took := rt.Ended.Sub(rt.Sent)
		if rt.Whole || rt.GaveUp || ran[rt.Call.ID] || took <= sim.LossSlack {
			continue
		}
		broken++
		pl.re.Printf("RULE LOST: the channel of %s ended %.3f s after it was sent without a complete answer: status %d, %v", rt.Call.ID, took.Seconds(), rt.Status, rt.Err)
	}
	return broken
}
