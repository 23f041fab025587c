package logs

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	// sinkBytes bounds the lines that wait to be written.
	sinkBytes = 128 << 10
	// flushPeriod is the time between writes.
	flushPeriod = 200 * time.Millisecond
	// eventsPerSecond bounds the lines of one event in a second.
	eventsPerSecond = 200
)

// Sink takes log lines without ever blocking: what finds no room, or exceeds the rate
// of its event, is dropped and counted.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	// second is the second that counts belongs to.
	second  int64
	counts  map[string]int
	dropped map[string]int

	stop chan struct{}
	done chan struct{}
}

// NewSink returns a sink that writes to out until Close.
func NewSink(out io.Writer) *Sink {
	si := &Sink{
		out: out, counts: map[string]int{}, dropped: map[string]int{},
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go si.run()
	return si
}

// Write takes one JSON object of the logging library; it never fails.
func (si *Sink) Write(object []byte) (int, error) {
	si.mu.Lock()
	defer si.mu.Unlock()
	event := eventOf(object)
	if second := time.Now().Unix(); second != si.second {
		si.second = second
		clear(si.counts)
	}
	if si.counts[event] >= eventsPerSecond || len(si.waiting)+len(object) > sinkBytes {
		si.dropped[event]++
		return len(object), nil
	}
	si.counts[event]++
	si.waiting = appendLine(si.waiting, object)
	return len(object), nil
}

// eventOf returns the event's name of a JSON object.
func eventOf(object []byte) string {
	const field = `"message":"`
	start := bytes.LastIndex(object, []byte(field))
	if start < 0 {
		return "none"
	}
	rest := object[start+len(field):]
	end := bytes.IndexByte(rest, '"')
	if end < 0 {
		return "none"
	}
	return string(rest[:end])
}

// run writes what waits, again and again.
func (si *Sink) run() {
	defer close(si.done)
	tick := time.NewTicker(flushPeriod)
	defer tick.Stop()
	for {
		select {
		case <-si.stop:
			si.flush()
			return
		case <-tick.C:
			si.flush()
		}
	}
}

// flush writes the lines that wait, outside the lock.
func (si *Sink) flush() {
	si.mu.Lock()
	for event, count := range si.dropped {
		si.waiting = append(si.waiting, "level=warn event=log_lines_dropped dropped_event="...)
		si.waiting = append(si.waiting, event...)
		si.waiting = append(si.waiting, " count="...)
		si.waiting = strconv.AppendInt(si.waiting, int64(count), 10)
		si.waiting = append(si.waiting, '\n')
	}
	clear(si.dropped)
	lines := si.waiting
	si.waiting = si.spare[:0]
	si.mu.Unlock()
	if len(lines) > 0 {
		// Nobody can be told that the log itself cannot be written.
		_, _ = si.out.Write(lines)
	}
	si.mu.Lock()
	si.spare = lines
	si.mu.Unlock()
}

// Close writes what waits and stops the sink.
func (si *Sink) Close() {
	close(si.stop)
	<-si.done
}
