package faulty

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// blockBytes is the size of one write of an endless answer, blockPause the time between two.
	blockBytes = 64 << 10
	blockPause = time.Millisecond
	// sendMax is the longest time that is spent on sending one answer.
	sendMax = 30 * time.Second
)

// answer keeps the answer of the inner handler.
type answer struct {
	status int
	header http.Header
	body   bytes.Buffer
}

// Header returns the header fields of the answer.
func (an *answer) Header() http.Header { return an.header }

// WriteHeader keeps the status.
func (an *answer) WriteHeader(status int) { an.status = status }

// Write keeps a part of the body.
func (an *answer) Write(data []byte) (int, error) { return an.body.Write(data) }

// Flush does nothing, as the answer is sent once it is whole.
func (an *answer) Flush() {}

// send takes over the connection and sends the answer in the given way.
func (an *answer) send(wr http.ResponseWriter, mode Mode) {
	co, _, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		http.Error(wr, err.Error(), http.StatusInternalServerError)
		return
	}
	defer func() { _ = co.Close() }()
	if err := co.SetDeadline(time.Now().Add(sendMax)); err != nil {
		return
	}
	switch mode {
	case Sound:
		sendText(co, an.head(an.body.Len())+an.body.String())
	case EndlessHead:
		sendEndless(co, "HTTP/1.1 200 OK\r\nX-Endless: ")
	case EndlessBody:
		sendEndless(co, an.head(-1))
	case Unframed:
		sendText(co, an.head(-1)+an.body.String())
	case Cut:
		sendText(co, an.half())
	case Reset:
		sendText(co, an.half())
		resetOnClose(co)
	case NoAnswer:
	case Garbage:
		sendText(co, "\x16\x03\x01 this is no answer\r\n\r\n")
	}
}

// head returns the status line and the header fields, with a length unless it is negative.
func (an *answer) head(length int) string {
	text := &strings.Builder{}
	_, _ = fmt.Fprintf(text, "HTTP/1.1 %d %s\r\nConnection: close\r\n", an.status, http.StatusText(an.status))
	if length >= 0 {
		_, _ = fmt.Fprintf(text, "Content-Length: %d\r\n", length)
	}
	_ = an.header.Write(text)
	text.WriteString("\r\n")
	return text.String()
}

// half returns the head and half the body. The half of an event stream ends inside an event and has no
// length.
func (an *answer) half() string {
	body, length := an.body.String(), an.body.Len()
	half := body[:length/2]
	if strings.HasPrefix(an.header.Get("Content-Type"), "text/event-stream") {
		half, length = strings.TrimRight(half, "\n"), -1
	}
	return an.head(length) + half
}

// sendText sends a text. Errors are not of interest, as the connection is closed next.
func sendText(co net.Conn, text string) {
	_, _ = co.Write([]byte(text))
}

// sendEndless sends a text and then bytes without an end, until the other side closes the connection.
func sendEndless(co net.Conn, text string) {
	sendText(co, text)
	block := bytes.Repeat([]byte("e"), blockBytes)
	for {
		if _, err := co.Write(block); err != nil {
			return
		}
		time.Sleep(blockPause)
	}
}

// resetOnClose makes the close of a TCP connection reset it.
func resetOnClose(co net.Conn) {
	if tc, ok := co.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
}
