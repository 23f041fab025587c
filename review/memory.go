package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bambooladder/bambooladder/review/sim"
)

const (
	memoryWork = 300 * time.Millisecond
	// memoryBody is the size of a body in bytes, the manifest's max_body_bytes, and memorySmall what the same callers
	// send without the disruption.
	memoryBody  = 4_194_304
	memorySmall = 600
	// memoryCalls is the number of callers that come at once.
	memoryCalls = 80
	// memoryPeriod is how often the platform looks at the memory of a process.
	memoryPeriod = 10 * time.Millisecond
	kibPerMib    = 1024
	// closedMax is the number of channels that may be closed without an answer.
	closedMax = 3
)

// playMemory sends unsafe calls with the largest bodies that the manifest allows at once, each on a channel that the caller
// has used before. The platform kills the entry node once it takes more memory than it has. It counts the calls that a server has
// begun to run and whose channel ends without an answer.
func playMemory(ctx context.Context, pl *play) (int, error) {
	if err := pl.publish(time.Second, drainMemory); err != nil {
		return 0, err
	}
	servers := make([]*sim.Plain, 0, drainServers)
	for number := range drainServers {
		se, err := pl.startPlain(number+1, memoryWork)
		if err != nil {
			return 0, err
		}
		servers = append(servers, se)
	}
	if err := pl.sy.StartEntries(ctx, 1); err != nil {
		return 0, err
	}
	if err := pl.awaitServed(ctx, 0, order); err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	size := memorySmall
	if pl.trouble {
		size = memoryBody
	}
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	go pl.limitMemory(watchCtx, pl.sy.Entry(0))
	results := pl.sendLarge(ctx, strings.Repeat("x", size))
	return pl.countClosed(servers, results), ctx.Err()
}

// sendLarge sends a small call on each of the callers' channels and then all large ones at once.
func (pl *play) sendLarge(ctx context.Context, body string) []*sim.Result {
	channels := make([]*sim.Channel, memoryCalls)
	for number := range channels {
		channels[number] = sim.NewChannel(pl.sy.Entry(0).Caller)
		defer channels[number].Close()
		channels[number].Send(ctx, pl.re, order(fmt.Sprintf("small-%d", number)))
	}
	results := make([]*sim.Result, memoryCalls)
	wg := sync.WaitGroup{}
	for number, ch := range channels {
		ca := order(fmt.Sprintf("large-%d", number))
		ca.Body = body
		wg.Go(func() { results[number] = ch.Send(ctx, pl.re, ca) })
	}
	wg.Wait()
	return results
}

// limitMemory kills an entry node as the platform does once it takes more memory than it has, and records the most that it
// took when the context ends.
func (pl *play) limitMemory(ctx context.Context, en *sim.Entry) {
	peak := 0
	tick := time.NewTicker(memoryPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			pl.re.Printf("%s took %d MiB at most", en.Name, peak/kibPerMib)
			return
		case <-tick.C:
		}
		peak = max(peak, en.Memory())
		if peak > sim.EntryMemory*kibPerMib {
			pl.re.Printf("%s takes %d MiB, more than its %d MB: the platform kills it", en.Name, peak/kibPerMib, sim.EntryMemory)
			if err := en.Signal(syscall.SIGKILL); err != nil {
				pl.re.Printf("%v", err)
			}
			return
		}
	}
}

// countClosed counts the calls that a server has begun to run and whose channel has ended without an answer, none if there are
// no more than the rule allows.
func (pl *play) countClosed(servers []*sim.Plain, results []*sim.Result) int {
	ran := map[string]bool{}
	for _, se := range servers {
		for _, ar := range se.Arrivals() {
			ran[ar.Request] = true
		}
	}
	closed := 0
	for _, rt := range results {
		if !ran[rt.Call.ID] || rt.Status != 0 || rt.GaveUp {
			continue
		}
		closed++
		pl.re.Printf("RULE LOST: %s was passed on to a server and its kept channel ended without an answer: %v", rt.Call.ID, rt.Err)
	}
	if closed <= closedMax {
		return 0
	}
	return closed
}
