package engine

import (
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// blockTokens is the number of prompt tokens in a cached block.
	blockTokens = 16
	// blocksMax is the number of blocks that the prefix cache holds.
	blocksMax = 4096
	// eventsMax is the number of cache events that are kept for readers.
	eventsMax = 1024
	// lostEventInterval makes one of this many cache events get lost.
	lostEventInterval = 17
	// eventDelay is the time until readers see a cache event.
	eventDelay = 500 * time.Millisecond
	// historySamplesMax is the number of samples at which the older half of the batch history is
	// dropped.
	historySamplesMax = 4096
)

// CacheEvent reports that a prompt block was added to the prefix cache.
type CacheEvent struct {
	Sequence int    `json:"sequence"`
	Block    uint64 `json:"block"`
	at       time.Time
}

// prefixCache holds the hashes of recently used prompt blocks, after each add at most blocksMax.
type prefixCache struct {
	// blockHashes maps the hash of each cached block to the useCount of its last use.
	blockHashes map[uint64]int
	// useCount counts the uses of blocks, to order them by their last use.
	useCount int
	// lastSequence is the sequence number of the newest event, also if it was lost.
	lastSequence int
	events       []CacheEvent
}

// hashBlocks returns the hashes of a prompt's full blocks, each chained to the one before, and
// the number of tokens in the prompt.
func hashBlocks(model, prompt string) ([]uint64, int) {
	tokens := strings.Fields(prompt)
	hash := xxh3.HashString(model)
	hashes := make([]uint64, 0, len(tokens)/blockTokens)
	for start := 0; start+blockTokens <= len(tokens); start += blockTokens {
		hash = xxh3.HashStringSeed(strings.Join(tokens[start:start+blockTokens], " "), hash)
		hashes = append(hashes, hash)
	}
	return hashes, len(tokens)
}

// uncachedTokens returns the number of prompt tokens after the longest cached prefix.
func (pc *prefixCache) uncachedTokens(model, prompt string) int {
	hashes, tokens := hashBlocks(model, prompt)
	for _, block := range hashes {
		if _, ok := pc.blockHashes[block]; !ok {
			break
		}
		tokens -= blockTokens
	}
	return tokens
}

// add caches a prompt's blocks and evicts the least recently used ones beyond blocksMax.
func (pc *prefixCache) add(model, prompt string) {
	if pc.blockHashes == nil {
		pc.blockHashes = map[uint64]int{}
	}
	hashes, _ := hashBlocks(model, prompt)
	for _, block := range hashes {
		pc.useCount++
		if _, ok := pc.blockHashes[block]; !ok {
			pc.publish(block)
		}
		pc.blockHashes[block] = pc.useCount
	}
	for len(pc.blockHashes) > blocksMax {
		pc.evictLeastRecent()
	}
}

// evictLeastRecent evicts the least recently used block.
func (pc *prefixCache) evictLeastRecent() {
	oldest, found := uint64(0), false
	for block, lastUse := range pc.blockHashes {
		if !found || lastUse < pc.blockHashes[oldest] {
			oldest, found = block, true
		}
	}
	delete(pc.blockHashes, oldest)
}

// publish queues a cache event. It loses every event whose sequence number is a
// multiple of lostEventInterval, so that readers see gaps in the sequence.
func (pc *prefixCache) publish(block uint64) {
	pc.lastSequence++
	if pc.lastSequence%lostEventInterval == 0 {
		return
	}
	pc.events = append(pc.events, CacheEvent{Sequence: pc.lastSequence, Block: block, at: time.Now()})
	if len(pc.events) > eventsMax {
		pc.events = pc.events[1:]
	}
}

// CacheEvents returns the events with a sequence number above the given one that are at
// least eventDelay old.
func (en *Engine) CacheEvents(after int) []CacheEvent {
	en.mu.Lock()
	defer en.mu.Unlock()
	cutoff := time.Now().Add(-eventDelay)
	visible := make([]CacheEvent, 0)
	for _, ev := range en.cache.events {
		if ev.Sequence > after && !ev.at.After(cutoff) {
			visible = append(visible, ev)
		}
	}
	return visible
}

// ExportKV returns the hashes of the cached blocks at the beginning of a prompt.
func (en *Engine) ExportKV(model, prompt string) []uint64 {
	en.mu.Lock()
	defer en.mu.Unlock()
	hashes, _ := hashBlocks(model, prompt)
	cached := make([]uint64, 0, len(hashes))
	for _, block := range hashes {
		if _, ok := en.cache.blockHashes[block]; !ok {
			break
		}
		cached = append(cached, block)
	}
	return cached
}

// ImportKV adds blocks that another engine exported to the prefix cache, without cache events and
// without evicting others.
func (en *Engine) ImportKV(hashes []uint64) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.cache.blockHashes == nil {
		en.cache.blockHashes = map[uint64]int{}
	}
	for _, block := range hashes {
		en.cache.useCount++
		en.cache.blockHashes[block] = en.cache.useCount
	}
}

// batchSample holds the number of running and waiting requests at a time.
type batchSample struct {
	at      time.Time
	running int
	waiting int
}

// batchHistory keeps past samples, so that load reports can lag.
type batchHistory struct {
	samples []batchSample
}

// add appends a sample.
func (bh *batchHistory) add(at time.Time, running, waiting int) {
	bh.samples = append(bh.samples, batchSample{at: at, running: running, waiting: waiting})
	if len(bh.samples) > historySamplesMax {
		bh.samples = append(bh.samples[:0], bh.samples[historySamplesMax/2:]...)
	}
}

// ReportedLoad is a report of the running and waiting requests.
type ReportedLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// ReportedLoad returns the load as it was ReportLag ago.
func (en *Engine) ReportedLoad() ReportedLoad {
	en.mu.Lock()
	defer en.mu.Unlock()
	cutoff := time.Now().Add(-en.op.ReportLag)
	report := ReportedLoad{}
	for _, bs := range en.history.samples {
		if bs.at.After(cutoff) {
			break
		}
		report = ReportedLoad{Running: bs.running, Waiting: bs.waiting}
	}
	return report
}
