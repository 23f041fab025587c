package pool

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// strayMax bounds the answers to other requests that are passed over.
	strayMax = 2
	// inlineBody is the size up to which a body is written before the answer is read.
	inlineBody = 8 << 10
	// strayBytes bounds the body of an answer that is passed over.
	strayBytes = 1 << 20
)

// Request is what is sent, byte for byte.
type Request struct {
	Method string
	// Target is the path and query as they came.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is a backend server's answer; Close ends the exchange.
type Answer struct {
	Status int
	Header http.Header
	// Body reads the answer; an error other than io.EOF means that it is not whole.
	Body io.Reader

	co       *Conn
	resp     *http.Response
	written  chan error
	stop     func() bool
	whole    bool
	reusable bool
}

// SendError is a failed exchange.
type SendError struct {
	// Written is false when no byte of the request can have reached the server.
	Written bool
	Err     error
}

// Error returns what failed.
func (se *SendError) Error() string { return "pool: exchange: " + se.Err.Error() }

// Unwrap returns the cause.
func (se *SendError) Unwrap() error { return se.Err }

// Do sends a request and reads the answer's head. The match tells whether an answer
// belongs to the request: an answer to another is passed over. The connection is closed
// when the context ends.
func (co *Conn) Do(ctx context.Context, rq *Request, match func(hd http.Header) bool) (*Answer, error) {
	stop := context.AfterFunc(ctx, co.Close)
	an, err := co.exchange(rq, match)
	if err != nil {
		stop()
		co.Close()
		return nil, err
	}
	an.stop = stop
	return an, nil
}

// exchange writes the request and reads the head of its answer.
func (co *Conn) exchange(rq *Request, match func(hd http.Header) bool) (*Answer, error) {
	head := rq.head()
	written := make(chan error, 1)
	if len(rq.Body) <= inlineBody {
		count, err := co.nc.Write(append(head, rq.Body...))
		if err != nil {
			return nil, &SendError{Written: count > 0, Err: err}
		}
		written <- nil
	} else {
		// A server may answer before it has read a long body.
		go func() {
			_, err := co.nc.Write(append(head, rq.Body...))
			written <- err
		}()
	}
	for range strayMax + 1 {
		resp, err := http.ReadResponse(co.br, &http.Request{Method: rq.Method}) //nolint:bodyclose // the body is a part of the connection, which Answer.Close keeps or closes
		if err != nil {
			return nil, &SendError{Written: true, Err: err}
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if !match(resp.Header) {
			if err := co.passOver(resp); err != nil {
				return nil, err
			}
			continue
		}
		return co.answer(resp, written), nil
	}
	return nil, &SendError{Written: true, Err: errors.New("the server answers other requests")}
}

// passOver reads an answer that belongs to another request.
func (co *Conn) passOver(resp *http.Response) error {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, strayBytes))
	if err != nil || resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return &SendError{Written: true, Err: errors.New("the connection ended with an answer to another request")}
	}
	return nil
}

// answer wraps a response.
func (co *Conn) answer(resp *http.Response, written chan error) *Answer {
	an := &Answer{Status: resp.StatusCode, Header: resp.Header, co: co, resp: resp, written: written}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	an.reusable = framed && !resp.Close
	co.seeIdle(resp.Header)
	an.Body = &body{an: an}
	if resp.ContentLength == 0 {
		an.whole = true
	}
	return an
}

// body reads an answer and notices its end.
type body struct {
	an *Answer
}

// Read reads the answer.
func (bo *body) Read(buf []byte) (int, error) {
	count, err := bo.an.resp.Body.Read(buf)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		bo.an.whole = true
		return count, io.EOF
	}
	return count, err
}

// Close ends the exchange: the connection is kept if the whole answer was read and nothing follows it.
func (an *Answer) Close() {
	live := an.stop()
	sent := false
	select {
	case err := <-an.written:
		sent = err == nil
	default:
	}
	if live && sent && an.whole && an.reusable && an.co.br.Buffered() == 0 {
		an.co.po.put(an.co)
		return
	}
	an.co.Close()
}

// seeIdle takes the idle timeout that a server announces.
func (co *Conn) seeIdle(hd http.Header) {
	for _, part := range strings.Split(hd.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			co.idleMax = time.Duration(seconds) * time.Second
		}
	}
}

// head renders the request line and the headers.
func (rq *Request) head() []byte {
	buf := bytes.Buffer{}
	buf.Grow(1024 + len(rq.Body))
	buf.WriteString(rq.Method)
	buf.WriteByte(' ')
	buf.WriteString(rq.Target)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(rq.Host)
	buf.WriteString("\r\n")
	// Writing to a buffer does not fail.
	_ = rq.Header.Write(&buf)
	if len(rq.Body) > 0 || rq.Method != http.MethodGet && rq.Method != http.MethodHead {
		buf.WriteString("Content-Length: ")
		buf.WriteString(strconv.Itoa(len(rq.Body)))
		buf.WriteString("\r\n")
	}
	buf.WriteString("\r\n")
	return buf.Bytes()
}
