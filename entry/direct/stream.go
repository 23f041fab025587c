package direct

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/retry"
	"github.com/bambooladder/bambooladder/entry/internal/pool"
)

const (
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20
	// eventBufferBytes is the initial buffer size, enough for a typical event.
	eventBufferBytes = 512
	// streamType is the media type of a stream of events.
	streamType = "text/event-stream"
	// reasonNoStream means that a server answered with a success that does not continue the stream that has begun.
	reasonNoStream = "no_stream"
	// reasonStreamStalled means that a stream that had begun brought no events any more, though its server responds.
	reasonStreamStalled = "stream_stalled"
	// reasonOutOfOrder means that a server sent an event that does not follow the last one.
	reasonOutOfOrder = "out_of_order"
)

// streamState tracks the events written to the caller.
type streamState struct {
	// lastID is the ID of the last event written.
	lastID string
	count  int
	order  eventOrder
	// lastWrittenAt is when the last event was written, longestPause the longest time between
	// two events.
	lastWrittenAt time.Time
	longestPause  time.Duration
	// unconfirmedEnd is true if the last answer ended with its connection and nothing shows that more follows. If endCounts
	// is true, the stream is whole then where no other server can be asked.
	unconfirmedEnd, endCounts bool
	// broken is true once an answer has broken off, or more has followed its end.
	broken bool
}

// recordWritten updates the state after an event was written.
func (ss *streamState) recordWritten(ev []byte, now time.Time) {
	if ss.count > 0 {
		ss.longestPause = max(ss.longestPause, now.Sub(ss.lastWrittenAt))
	}
	ss.count++
	ss.moreFollows()
	ss.lastWrittenAt = now
	if id, ok := eventID(ev); ok {
		ss.lastID = id
	}
}

// lastEventID returns the ID of the event after which the next server must resume the stream.
func (rq *request) lastEventID() string {
	if rq.stream.lastID != "" {
		return rq.stream.lastID
	}
	return rq.info.LastEvent
}

// goesOn reports whether the caller has the beginning of a stream, from this request or from the one that it takes up.
func (rq *request) goesOn() bool {
	return rq.answerStarted || rq.route.Kind == paths.Stream && rq.route.Resumable && rq.info.LastEvent != ""
}

// isStream reports whether an answer is a stream of events, and of the same type as the one that the caller has the
// beginning of.
func (rq *request) isStream(an *pool.Answer) bool {
	if an.Status != http.StatusOK {
		return false
	}
	mediaType := mediaTypeOf(an.Header)
	if rq.answerStarted {
		return mediaType == mediaTypeOf(rq.wr.Header())
	}
	return mediaType == "" || mediaType == streamType
}

// mediaTypeOf returns the media type in headers without its parameters, in lower case, empty if there is none.
func mediaTypeOf(hd http.Header) string {
	mediaType, _, _ := strings.Cut(hd.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(mediaType))
}

// errEventTooLong means that a server sent an event larger than maxEventBytes.
var errEventTooLong = errors.New("direct: an event exceeds the size limit")

// beginOrder makes the caller's last event the one that the first event must follow, if the route can go on after it.
func (rq *request) beginOrder() {
	if rq.route.Resumable {
		rq.stream.order = rq.stream.order.withLast(rq.info.LastEvent)
	}
}

// deliverStream forwards each event as soon as it is complete. If the stream breaks, it can
// resume on another server after the last event that the caller has received.
func (rq *request) deliverStream(ctx context.Context, at *attempt, an *pool.Answer) (result, bool) {
	ra := newReadAhead(an.Body, &rq.no.held, at.conn.Close)
	defer ra.release()
	rd := bufio.NewReaderSize(ra, eventBufferBytes)
	buf := make([]byte, 0, eventBufferBytes)
	eh := eventHold{hb: &rq.no.held}
	defer eh.release()
	for {
		ev, err := readEvent(rd, buf[:0], eh.allows)
		if errors.Is(err, io.EOF) && len(ev) == 0 {
			return rq.endStream(at, an)
		}
		if err != nil {
			rq.recordPartOfEvent(ev)
			return rq.brokenStreamResult(ctx, at, err), false
		}
		rq.no.recordActivity(at.server)
		begin := time.Now()
		ra.beginWrite()
		rq.progress.beginWrite(hasData(ev), begin)
		reason := rq.passOnEvent(ctx, at, an, ev)
		rq.progress.endWrite(time.Since(begin))
		ra.endWrite()
		if reason != "" {
			return result{outcome: retry.Unknown, reason: reason}, false
		}
		buf = ev
	}
}

// passOnEvent writes an event to the caller if it comes next in the stream, or returns the reason why the attempt ends. It
// leaves out what only keeps the connection open until the server goes on.
func (rq *request) passOnEvent(ctx context.Context, at *attempt, an *pool.Answer, ev []byte) string {
	first := at.firstEventAt.IsZero()
	if first && rq.goesOn() && !hasData(ev) {
		return ""
	}
	order, follows := rq.orderWith(at, ev, first)
	if !follows {
		return reasonOutOfOrder
	}
	if first && !rq.admitFirstEvent(ctx, at) {
		rq.stream.moreFollows()
		return reasonSoftwareChanged
	}
	if first {
		rq.stream.broken = rq.stream.broken || rq.stream.count > 0
		rq.recordFirstEvent(at, an, ev)
	}
	at.recordReceived(time.Now())
	if !rq.writeEvent(an, ev) {
		return reasonCallerGone
	}
	at.recordDelivered(time.Now())
	rq.stream.order = order
	return ""
}

// orderWith returns the order of the stream with the next event, and whether that event follows. If not, it counts a
// failure of the server: another one can still send what follows.
func (rq *request) orderWith(at *attempt, ev []byte, firstOfAnswer bool) (eventOrder, bool) {
	id, _ := eventID(ev)
	order, follows := rq.stream.order.withNext(id, firstOfAnswer && !isLastEvent(ev))
	if !follows {
		if order.isBefore(id) {
			rq.stream.moreFollows()
		}
		rq.logAttempt(at, "event_out_of_order").Str("id", id).Str("last_event", rq.lastEventID()).Bool("first", firstOfAnswer).Send()
		rq.no.recordFailure(at.server)
	}
	return order, follows
}

// recordReceived updates the longest pause when an event arrives.
func (at *attempt) recordReceived(now time.Time) {
	if at.firstEventAt.IsZero() {
		at.firstEventAt = now
	} else {
		at.longestPause = max(at.longestPause, now.Sub(at.lastEventAt))
	}
	at.lastEventAt = now
}

// recordDelivered records that an event has been written. The time that its caller took is no pause of the server.
func (at *attempt) recordDelivered(now time.Time) { at.lastEventAt = now }

// recordFirstEvent records the time to an attempt's first event.
func (rq *request) recordFirstEvent(at *attempt, an *pool.Answer, ev []byte) {
	took := time.Since(at.start)
	rq.no.crashes.begun(at)
	id, _ := eventID(ev)
	rq.logAttempt(at, "first_event").Str("id", id).Str("last_event", rq.lastEventID()).Int("status", an.Status).Str("type", an.Header.Get("Content-Type")).
		Bool("framed", an.Framed()).Str("software", rq.origin.Software).Dur("took", took).Dur("grant", at.grantWait).Dur("expected", at.choice.Wait).Send()
	rq.no.recordSuccess(at, took)
	if at.granted {
		rq.no.agents.sendStarted(at.id)
	}
	histogram(histogramFirstByte).record(took)
}

// writeEvent writes one event to the caller, preceded by the headers if it is the first.
func (rq *request) writeEvent(an *pool.Answer, ev []byte) bool {
	rq.writeStreamHeader(an)
	if !rq.write(ev) {
		return false
	}
	rq.wr.Flush()
	rq.stream.recordWritten(ev, time.Now())
	return true
}

// writeStreamHeader writes the headers of the first server that answers; later servers only
// add events.
func (rq *request) writeStreamHeader(an *pool.Answer) {
	if rq.answerStarted {
		return
	}
	rq.answerStarted = true
	copyHeader(rq.wr.Header(), an.Header)
	rq.wr.WriteHeader(an.Status)
}

// finishStream completes the answer.
func (rq *request) finishStream(at *attempt, an *pool.Answer) (result, bool) {
	rq.writeStreamHeader(an)
	rq.no.crashes.recordAnswered(rq)
	rq.recordAnswerTime(at)
	if !at.firstEventAt.IsZero() {
		rq.no.crashes.recordPartsAnswered(rq)
	}
	rq.logAttempt(at, "request_answered").Int("status", an.Status).Int("events", rq.stream.count).
		Str("last_event", rq.lastEventID()).Bool("framed", an.Framed()).Dur("longest_pause", rq.stream.longestPause).Dur("took", time.Since(rq.start)).Send()
	histogram(histogramWholeAnswer).record(time.Since(rq.start))
	// The outcome only makes release report the grant as done.
	return result{outcome: retry.Failed}, true
}

// brokenStreamResult returns the result of an attempt whose stream broke. The request may have
// run.
func (rq *request) brokenStreamResult(ctx context.Context, at *attempt, err error) result {
	re := rq.classifySendError(ctx, at, err)
	re.outcome = retry.Unknown
	return re
}

// readEvent reads one event including the blank line that ends it, as long as allows permits its size. It
// returns io.EOF at the end of the stream, or io.ErrUnexpectedEOF with the bytes of an unfinished event.
func readEvent(rd *bufio.Reader, ev []byte, allows func(size int) bool) ([]byte, error) {
	for {
		line, err := rd.ReadSlice('\n')
		ev = append(ev, line...)
		lineGoesOn := errors.Is(err, bufio.ErrBufferFull)
		if errors.Is(err, io.EOF) && len(ev) > 0 {
			return ev, io.ErrUnexpectedEOF
		}
		if err != nil && !lineGoesOn {
			return ev, err
		}
		if len(ev) > maxEventBytes || !allows(len(ev)) {
			return ev, errEventTooLong
		}
		if !lineGoesOn && (bytes.HasSuffix(ev, []byte("\n\n")) || bytes.HasSuffix(ev, []byte("\r\n\r\n"))) {
			return ev, nil
		}
	}
}

// hasData reports whether an event has data. Others are comments or settings, by which servers keep connections open.
func hasData(ev []byte) bool {
	for line := range bytes.Lines(ev) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// isLastEvent reports whether an event says that the stream is over, as some servers do without a number.
func isLastEvent(ev []byte) bool { return bytes.Equal(bytes.TrimSpace(ev), []byte("data: [DONE]")) }

// eventID returns the ID of an event, if it has one.
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
