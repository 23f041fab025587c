package direct

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/retry"
	"github.com/bambooladder/bambooladder/entry/internal/pool"
)

const (
	// eventMax bounds one event, in bytes.
	eventMax = 1 << 20
	// eventBytes is the room for an event of usual size.
	eventBytes = 512
)

// eventState tells how far a stream has come.
type eventState struct {
	// last is the identity of the last event that was written.
	last  string
	count int
	// at is when the last event was written, pause the longest time between two.
	at    time.Time
	pause time.Duration
}

// wrote records an event.
func (es *eventState) wrote(ev []byte, now time.Time) {
	if es.count > 0 {
		es.pause = max(es.pause, now.Sub(es.at))
	}
	es.count++
	es.at = now
	if id, ok := eventID(ev); ok {
		es.last = id
	}
}

// lastEvent returns the event after which the stream goes on.
func (rq *request) lastEvent() string {
	if rq.events.last != "" {
		return rq.events.last
	}
	return rq.call.LastEvent
}

var errEventTooLong = errors.New("direct: an event is longer than allowed")

// passStream writes whole events as they arrive. Where the stream breaks, it may go on
// at another server after the last event that the caller has.
func (rq *request) passStream(ctx context.Context, at *attempt, an *pool.Answer) (result, bool) {
	rd := bufio.NewReaderSize(an.Body, eventBytes)
	first := true
	buf := make([]byte, 0, eventBytes)
	for {
		ev, err := readEvent(rd, buf[:0])
		if errors.Is(err, io.EOF) && len(ev) == 0 {
			return rq.endStream(at, an)
		}
		if err != nil {
			return rq.streamBroke(ctx, at, err), false
		}
		rq.no.heard(at.server)
		if first {
			first = false
			rq.firstEvent(at)
		}
		at.sawEvent(time.Now())
		if !rq.writeEvent(an, ev) {
			return result{outcome: retry.Unknown, reason: reasonGone}, false
		}
		buf = ev
	}
}

// sawEvent counts the pause before an event.
func (at *attempt) sawEvent(now time.Time) {
	if !at.eventAt.IsZero() {
		at.pause = max(at.pause, now.Sub(at.eventAt))
	}
	at.eventAt = now
}

// firstEvent measures the wait for an attempt's first event.
func (rq *request) firstEvent(at *attempt) {
	took := time.Since(at.start)
	rq.log(at, "first_event").Dur("took", took).Dur("grant", at.grantTook).Dur("expected", at.choice.Wait).Send()
	rq.no.succeeded(at, took)
	if at.granted {
		rq.no.agents.started(at.id)
	}
	histogram(histogramFirst).record(took)
}

// writeEvent writes one event, behind the headers where it is the first.
func (rq *request) writeEvent(an *pool.Answer, ev []byte) bool {
	rq.openStream(an)
	if !rq.write(ev) {
		return false
	}
	rq.wr.Flush()
	rq.events.wrote(ev, time.Now())
	return true
}

// openStream writes the headers of the stream's first server.
func (rq *request) openStream(an *pool.Answer) {
	if rq.begun {
		return
	}
	rq.begun = true
	copyHeader(rq.wr.Header(), an.Header)
	rq.wr.WriteHeader(an.Status)
}

// endStream completes the answer.
func (rq *request) endStream(at *attempt, an *pool.Answer) (result, bool) {
	rq.openStream(an)
	rq.log(at, "request_answered").Int("status", http.StatusOK).Int("events", rq.events.count).Dur("longest_pause", rq.events.pause).Dur("took", time.Since(rq.start)).Send()
	histogram(histogramWhole).record(time.Since(rq.start))
	return result{outcome: retry.Failed}, true
}

// streamBroke decides what a broken stream means.
func (rq *request) streamBroke(ctx context.Context, at *attempt, err error) result {
	re := rq.sendFailed(ctx, at, err)
	re.outcome = retry.Unknown
	return re
}

// readEvent reads one event with the empty line that ends it. At the end of the stream
// it returns io.EOF, with what there was of an unfinished event.
func readEvent(rd *bufio.Reader, ev []byte) ([]byte, error) {
	for {
		line, err := rd.ReadSlice('\n')
		ev = append(ev, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
			if len(ev) <= eventMax {
				continue
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(ev) > 0 {
				return ev, io.ErrUnexpectedEOF
			}
			return ev, err
		}
		if len(ev) > eventMax {
			return ev, errEventTooLong
		}
		if bytes.HasSuffix(ev, []byte("\n\n")) || bytes.HasSuffix(ev, []byte("\r\n\r\n")) {
			return ev, nil
		}
	}
}

// eventID returns the identity of an event.
func eventID(ev []byte) (string, bool) {
	for len(ev) > 0 {
		line, rest, _ := bytes.Cut(ev, []byte("\n"))
		ev = rest
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
