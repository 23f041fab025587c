package grant

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkReleaseWithFullQueue measures a round in which a request ends, a queued one takes its place and another is
// queued, with 96 requests granted and the queue full. The adapters of half of the queued requests are not loaded.
func BenchmarkReleaseWithFullQueue(bb *testing.B) {
	now := testStart
	en := New(now)
	en.Prepare(Assignment{Model: testModel, Slots: 6, Server: "s1", Born: 1}, now)
	adapters := map[string]int{}
	for ix := range 6 {
		adapters[fmt.Sprintf("a%d", ix)] = 1
	}
	en.InspectionDone(Observation{Born: 1, MemoryTotal: 96 * 1000, Models: []Model{{Name: testModel, Adapters: adapters}}}, now)
	sent, requested := 0, 12
	reserve := func() []Action {
		sent++
		return en.Reserve(benchRequest(sent, requested, now), now)
	}
	granted := make([]string, 0)
	for len(en.queue) < queueMax-1 {
		for _, ac := range reserve() {
			if ac.Grant != nil {
				granted = append(granted, ac.Grant.Attempt)
			}
		}
	}
	requested = 6
	bb.ResetTimer()
	for bb.Loop() {
		actions := en.Release(granted[0], 0, now)
		granted = granted[1:]
		for _, ac := range append(actions, reserve()...) {
			if ac.Grant != nil {
				granted = append(granted, ac.Grant.Attempt)
			}
		}
	}
}

// benchRequest returns a request of one of sixteen organisations for one of some adapters.
func benchRequest(number, adapters int, now time.Time) Request {
	adapter := fmt.Sprintf("a%d", number%adapters)
	return Request{
		Attempt: fmt.Sprint(number), Entry: "entry", Key: Key{Model: testModel, Adapter: adapter}, Urgency: 5, PromptTokens: 800, OutputTokens: 200,
		Organisation: fmt.Sprintf("o%02d", number%16), GoalAt: now.Add(time.Second), Deadline: now.Add(time.Hour),
	}
}
