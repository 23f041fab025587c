package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

const (
	// holdBytes bounds what is held back before a plain answer is sent.
	holdBytes = 1 << 20
	// partTimeout is the time a slow caller has to take one part.
	partTimeout = 30 * time.Second

	streamType = "text/event-stream"
	dataPrefix = "data: "
	doneData   = "[DONE]"
)

// answer writes the parts of an answer to a caller. A stream is sent part by part;
// any other answer is held back until it is whole, so that it can still be tried again.
type answer struct {
	wr     http.ResponseWriter
	rc     *http.ResponseController
	stream bool

	status      int
	contentType string
	held        bytes.Buffer
	begun       bool
	tokens      int
}

// newAnswer returns the answer of a request.
func newAnswer(wr http.ResponseWriter, stream bool) *answer {
	return &answer{wr: wr, rc: http.NewResponseController(wr), stream: stream}
}

// Head takes the status; a later attempt that goes on with a begun answer changes nothing.
func (an *answer) Head(status int, contentType string) error {
	if an.begun {
		return nil
	}
	an.status = status
	an.contentType = contentType
	return nil
}

// Part takes a part and sends it on at once in a stream.
func (an *answer) Part(data []byte) error {
	if !an.stream || !strings.HasPrefix(an.contentType, streamType) {
		return an.hold(data)
	}
	if isToken(data) {
		an.tokens++
	}
	return an.send(data)
}

// hold keeps a part back until the answer is whole or too long to be held.
func (an *answer) hold(data []byte) error {
	if !an.begun && an.held.Len()+len(data) <= holdBytes {
		an.held.Write(data)
		return nil
	}
	if err := an.flush(); err != nil {
		return err
	}
	return an.send(data)
}

// flush sends what was held back.
func (an *answer) flush() error {
	if an.held.Len() == 0 {
		return nil
	}
	data := bytes.Clone(an.held.Bytes())
	an.held.Reset()
	return an.send(data)
}

// send writes to the caller, who has a limited time to take it.
func (an *answer) send(data []byte) error {
	an.begin()
	_ = an.rc.SetWriteDeadline(time.Now().Add(partTimeout))
	if _, err := an.wr.Write(data); err != nil {
		return errors.Wrap(err, "caller: write answer")
	}
	return errors.Wrap(an.rc.Flush(), "caller: flush answer")
}

// begin writes the status once.
func (an *answer) begin() {
	if an.begun {
		return
	}
	an.begun = true
	if an.contentType != "" {
		an.wr.Header().Set("Content-Type", an.contentType)
	}
	an.wr.WriteHeader(an.status)
}

// Begun tells whether the caller has been sent anything.
func (an *answer) Begun() bool { return an.begun }

// Tokens counts the tokens the caller has been sent.
func (an *answer) Tokens() int { return an.tokens }

// Reset drops what the caller has not been sent.
func (an *answer) Reset() { an.held.Reset() }

// Finish sends what is left.
func (an *answer) Finish() error {
	if err := an.flush(); err != nil {
		return err
	}
	an.begin()
	return nil
}

// Kept returns the whole answer if it was short enough to be held.
func (an *answer) Kept(limit int) (int, string, []byte, bool) {
	if an.begun || an.held.Len() > limit {
		return an.status, an.contentType, nil, false
	}
	return an.status, an.contentType, bytes.Clone(an.held.Bytes()), true
}

// breakOff ends a begun answer that cannot be completed, so that the caller can tell.
func (an *answer) breakOff(err error) {
	if !an.stream {
		panic(http.ErrAbortHandler)
	}
	_, body := bodyOf(err)
	data, _ := json.Marshal(body)
	_ = an.send([]byte(dataPrefix + string(data) + "\n\n"))
	panic(http.ErrAbortHandler)
}

// isToken tells whether an event carries a token.
func isToken(event []byte) bool {
	data, found := bytes.CutPrefix(event, []byte(dataPrefix))
	if !found || bytes.HasPrefix(data, []byte(doneData)) {
		return false
	}
	if content := gjson.GetBytes(data, "choices.0.delta.content"); content.Exists() {
		return content.String() != ""
	}
	return gjson.GetBytes(data, "choices.0.text").String() != ""
}
