package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/entry/internal/abort"
)

const (
	// writeTimeout is the timeout of each write to the caller.
	writeTimeout = 30 * time.Second

	eventStreamType = "text/event-stream"
	dataPrefix      = "data: "
	doneData        = "[DONE]"
)

// answer writes the response to a caller. An event stream is sent part by part. Any other answer is
// buffered until it is complete or does not fit any more, so that a failed attempt can still
// be retried. It must be released.
type answer struct {
	wr     http.ResponseWriter
	rc     *http.ResponseController
	stream bool

	status      int
	contentType string
	// buffer has the parts that are not sent yet.
	buffer buffer
	// statusSent is true once the status is sent to the caller.
	statusSent bool
	// tokens is the number of events with generated text that were sent in an event stream. Each
	// counts as one token.
	tokens int
	// finished is true once an event with the reason for the end was sent, uncounted once one that tokens do not count.
	finished  bool
	uncounted bool
	// resumed is true once a later attempt goes on with the answer.
	resumed bool
}

// newAnswer returns the answer to a request; its buffer counts among all. stream is true if the caller asked for an event
// stream.
func newAnswer(wr http.ResponseWriter, stream bool, all *buffers) *answer {
	return &answer{wr: wr, rc: http.NewResponseController(wr), stream: stream, buffer: buffer{all: all}}
}

// release returns the memory of the answer.
func (an *answer) release() { an.buffer.reset() }

// Head sets the status and the content type. It has no effect once the status is sent: a later
// attempt then continues the same answer.
func (an *answer) Head(status int, contentType string) error {
	if an.statusSent {
		an.resumed = true
		return nil
	}
	an.status = status
	an.contentType = contentType
	return nil
}

// Part adds a part to the answer. It sends the part at once if the answer is an event stream. An attempt that goes on
// with a stream gives the reason for its end again, which the caller may have.
func (an *answer) Part(data []byte) error {
	if !an.stream || !an.isEventStream() {
		return an.bufferOrSend(data)
	}
	ev := parseEvent(data)
	if an.resumed && an.finished && ev.finishes {
		return nil
	}
	an.note(ev)
	return an.send(data)
}

// note records an event that is sent to the caller.
func (an *answer) note(ev event) {
	if ev.token {
		an.tokens++
	}
	an.finished = an.finished || ev.finishes
	an.uncounted = an.uncounted || !ev.counted
}

// bufferOrSend buffers a part. If it does not fit, it sends the buffer and the part instead.
func (an *answer) bufferOrSend(data []byte) error {
	if !an.statusSent && an.buffer.add(data) {
		return nil
	}
	if err := an.sendBuffer(); err != nil {
		return err
	}
	return an.send(data)
}

// sendBuffer sends the buffered parts.
func (an *answer) sendBuffer() error {
	if len(an.buffer.data) == 0 {
		return nil
	}
	defer an.buffer.reset()
	return an.send(an.buffer.data)
}

// send writes data to the caller and flushes it. It fails if the caller reads too slowly.
func (an *answer) send(data []byte) error {
	an.sendStatus()
	_ = an.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := an.wr.Write(data); err != nil {
		return errors.Wrap(err, "caller: write answer")
	}
	return errors.Wrap(an.rc.Flush(), "caller: flush answer")
}

// sendStatus sends the status and the headers, unless they are sent already.
func (an *answer) sendStatus() {
	if an.statusSent {
		return
	}
	an.statusSent = true
	if an.contentType != "" {
		an.wr.Header().Set("Content-Type", an.contentType)
	}
	an.wr.WriteHeader(an.status)
}

// Begun reports whether the status has been sent to the caller.
func (an *answer) Begun() bool { return an.statusSent }

// Resumable reports whether a successful event stream was begun that another attempt can go on with after a number of
// tokens.
func (an *answer) Resumable() bool {
	return an.statusSent && an.stream && an.status == http.StatusOK && an.isEventStream() && !an.uncounted
}

// isEventStream reports whether the content type is that of an event stream.
func (an *answer) isEventStream() bool { return strings.HasPrefix(an.contentType, eventStreamType) }

// TokensSent returns the number of tokens that have been sent to the caller.
func (an *answer) TokensSent() int { return an.tokens }

// Reset discards the buffered parts.
func (an *answer) Reset() { an.buffer.reset() }

// Finish completes the answer by sending the status and the buffered parts if they are not sent
// yet.
func (an *answer) Finish() error {
	if err := an.sendBuffer(); err != nil {
		return err
	}
	an.sendStatus()
	return nil
}

// Kept returns the status, the content type and the body of the answer. It returns no body and
// false if a part was sent already or the body is longer than the limit.
func (an *answer) Kept(limit int) (int, string, []byte, bool) {
	if an.statusSent || len(an.buffer.data) > limit {
		return an.status, an.contentType, nil, false
	}
	return an.status, an.contentType, bytes.Clone(an.buffer.data), true
}

// abort breaks off the answer to a request that was partly sent and cannot be completed, so that
// the caller does not take it for complete. If the caller asked for an event stream, it sends the
// error as an event first.
func (an *answer) abort(rq *http.Request, err error) {
	if !an.stream {
		abort.Answer(rq)
	}
	_, body := errorResponse(err)
	data, _ := json.Marshal(body)
	_ = an.send([]byte(dataPrefix + string(data) + "\n\n"))
	abort.Answer(rq)
}
