package logs

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"
)

const (
	// maxPendingBytes is the maximum size of the lines that wait to be written.
	maxPendingBytes = 128 << 10
	// flushPeriod is the interval between writes.
	flushPeriod = 200 * time.Millisecond
	// maxLinesPerSecond is the maximum number of lines per second for each event.
	maxLinesPerSecond = 200
)

// Sink buffers log lines and writes them in the background, so that logging never blocks. A line
// that does not fit into the buffer, or exceeds the rate of its event, is dropped and counted.
type Sink struct {
	out io.Writer

	// mu guards the fields below, down to dropped.
	mu sync.Mutex
	// pending holds the lines to write. spare is the buffer of the previous write, kept for
	// reuse.
	pending []byte
	spare   []byte
	// second is the Unix time in seconds that counts belongs to.
	second int64
	// counts and dropped hold the accepted and the dropped lines by event.
	counts  map[string]int
	dropped map[string]int

	stop chan struct{}
	done chan struct{}
}

// NewSink returns a sink that writes to out until Close is called.
func NewSink(out io.Writer) *Sink {
	si := &Sink{
		out: out, counts: map[string]int{}, dropped: map[string]int{},
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go si.run()
	return si
}

// Write accepts one JSON object from zerolog. It never fails.
func (si *Sink) Write(object []byte) (int, error) {
	si.mu.Lock()
	defer si.mu.Unlock()
	event := eventOf(object)
	if second := time.Now().Unix(); second != si.second {
		si.second = second
		clear(si.counts)
	}
	if si.counts[event] >= maxLinesPerSecond || len(si.pending)+len(object) > maxPendingBytes {
		si.dropped[event]++
		return len(object), nil
	}
	si.counts[event]++
	si.pending = appendLine(si.pending, object)
	return len(object), nil
}

// eventOf returns the event in a JSON object from zerolog, or "none" if there is none.
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

// run flushes the sink every flushPeriod until Close is called.
func (si *Sink) run() {
	defer close(si.done)
	ticker := time.NewTicker(flushPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-si.stop:
			si.flush()
			return
		case <-ticker.C:
			si.flush()
		}
	}
}

// flush writes the pending lines and one line for each event of which lines were dropped. It does
// not hold the lock while it writes.
func (si *Sink) flush() {
	si.mu.Lock()
	for event, count := range si.dropped {
		si.pending = append(si.pending, "level=warn event=log_lines_dropped dropped_event="...)
		si.pending = append(si.pending, event...)
		si.pending = append(si.pending, " count="...)
		si.pending = strconv.AppendInt(si.pending, int64(count), 10)
		si.pending = append(si.pending, '\n')
	}
	clear(si.dropped)
	lines := si.pending
	si.pending = si.spare[:0]
	si.mu.Unlock()
	if len(lines) > 0 {
		// There is nowhere to report that writing the log failed.
		_, _ = si.out.Write(lines)
	}
	si.mu.Lock()
	si.spare = lines
	si.mu.Unlock()
}

// Close stops the sink after it has written the pending lines.
func (si *Sink) Close() {
	close(si.stop)
	<-si.done
}
