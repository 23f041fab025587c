package engine

import (
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// blockTokens is the number of prompt tokens in one cached block.
	blockTokens = 16
	blocksMax   = 4096
	eventsMax   = 1024
	// eventGap is the period of events that are lost.
	eventGap = 17
	// eventLag is how late an event is published.
	eventLag = 500 * time.Millisecond
	// historyMax bounds the load history.
	historyMax = 4096
)

// CacheEvent tells that a block of a prompt was cached.
type CacheEvent struct {
	Sequence int    `json:"sequence"`
	Block    uint64 `json:"block"`
	at       time.Time
}

// prefixCache remembers blocks of prompts in limited memory.
type prefixCache struct {
	blocks   map[uint64]int
	clock    int
	sequence int
	events   []CacheEvent
}

// blocks returns the chained hashes of a prompt's full blocks and its number of tokens.
func blocks(model, prompt string) ([]uint64, int) {
	tokens := strings.Fields(prompt)
	hash := xxh3.HashString(model)
	list := make([]uint64, 0, len(tokens)/blockTokens)
	for start := 0; start+blockTokens <= len(tokens); start += blockTokens {
		hash = xxh3.HashStringSeed(strings.Join(tokens[start:start+blockTokens], " "), hash)
		list = append(list, hash)
	}
	return list, len(tokens)
}

// miss returns the number of prompt tokens that are not cached.
func (pc *prefixCache) miss(model, prompt string) int {
	list, tokens := blocks(model, prompt)
	for _, block := range list {
		if _, ok := pc.blocks[block]; !ok {
			break
		}
		tokens -= blockTokens
	}
	return tokens
}

// add caches a prompt's blocks and drops the oldest beyond the memory.
func (pc *prefixCache) add(model, prompt string) {
	if pc.blocks == nil {
		pc.blocks = map[uint64]int{}
	}
	list, _ := blocks(model, prompt)
	for _, block := range list {
		pc.clock++
		if _, ok := pc.blocks[block]; !ok {
			pc.publish(block)
		}
		pc.blocks[block] = pc.clock
	}
	for len(pc.blocks) > blocksMax {
		pc.dropOldest()
	}
}

// dropOldest forgets the block that was used least recently.
func (pc *prefixCache) dropOldest() {
	oldest, found := uint64(0), false
	for block, clock := range pc.blocks {
		if !found || clock < pc.blocks[oldest] {
			oldest, found = block, true
		}
	}
	delete(pc.blocks, oldest)
}

// publish queues an event, but loses some.
func (pc *prefixCache) publish(block uint64) {
	pc.sequence++
	if pc.sequence%eventGap == 0 {
		return
	}
	pc.events = append(pc.events, CacheEvent{Sequence: pc.sequence, Block: block, at: time.Now()})
	if len(pc.events) > eventsMax {
		pc.events = pc.events[1:]
	}
}

// CacheEvents returns the published events after a sequence.
func (en *Engine) CacheEvents(after int) []CacheEvent {
	en.mu.Lock()
	defer en.mu.Unlock()
	limit := time.Now().Add(-eventLag)
	list := make([]CacheEvent, 0)
	for _, ev := range en.cache.events {
		if ev.Sequence > after && !ev.at.After(limit) {
			list = append(list, ev)
		}
	}
	return list
}

// ExportKV returns the cached blocks of a prompt.
func (en *Engine) ExportKV(model, prompt string) []uint64 {
	en.mu.Lock()
	defer en.mu.Unlock()
	list, _ := blocks(model, prompt)
	kept := make([]uint64, 0, len(list))
	for _, block := range list {
		if _, ok := en.cache.blocks[block]; !ok {
			break
		}
		kept = append(kept, block)
	}
	return kept
}

// ImportKV caches blocks that another engine exported.
func (en *Engine) ImportKV(list []uint64) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.cache.blocks == nil {
		en.cache.blocks = map[uint64]int{}
	}
	for _, block := range list {
		en.cache.clock++
		en.cache.blocks[block] = en.cache.clock
	}
}

// loadPoint is the load at one time.
type loadPoint struct {
	at      time.Time
	running int
	waiting int
}

// loadHistory keeps past loads, so that reports can lag.
type loadHistory struct {
	points []loadPoint
}

// add appends the load of now.
func (lh *loadHistory) add(at time.Time, running, waiting int) {
	lh.points = append(lh.points, loadPoint{at: at, running: running, waiting: waiting})
	if len(lh.points) > historyMax {
		lh.points = append(lh.points[:0], lh.points[historyMax/2:]...)
	}
}

// ReportedLoad is a load report.
type ReportedLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// ReportedLoad returns the load as it was some time ago.
func (en *Engine) ReportedLoad() ReportedLoad {
	en.mu.Lock()
	defer en.mu.Unlock()
	limit := time.Now().Add(-en.op.ReportLag)
	report := ReportedLoad{}
	for _, lp := range en.loads.points {
		if lp.at.After(limit) {
			break
		}
		report = ReportedLoad{Running: lp.running, Waiting: lp.waiting}
	}
	return report
}
