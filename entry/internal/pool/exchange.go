package pool

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/reply"
)

const (
	// maxSkippedAnswers limits the answers that are skipped in an exchange: interim (1xx) answers
	// and answers to other requests.
	maxSkippedAnswers = 2
	// maxInlineBodyBytes is the size up to which a body is written before the answer is read.
	maxInlineBodyBytes = 8 << 10
	// maxSkippedBodyBytes limits how much of the body of a skipped answer is read.
	maxSkippedBodyBytes = 1 << 20
)

// Request is a request to send. It is sent unchanged, with only Host and Content-Length added.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is a backend server's answer. Close ends the exchange.
type Answer struct {
	Status int
	Header http.Header
	// Body reads the answer's body. An error other than io.EOF means that the answer is
	// incomplete.
	Body io.Reader
	// SkippedCount is the number of answers to other requests that came before this one.
	SkippedCount int

	co   *Conn
	resp *http.Response
	// writeDone receives the result of writing the request.
	writeDone chan error
	// stop ends the watch on the context. It returns false if the context has ended.
	stop     func() bool
	complete bool
	// framed is true if the answer's head says where its body ends, reusable if nothing ends with the connection.
	framed, reusable bool
}

// SendError is the error of an exchange that failed before the head of the answer was read.
type SendError struct {
	// Written is false if no byte of the request can have reached the server.
	Written bool
	Err     error
}

// Error returns the message of the cause with a prefix.
func (se *SendError) Error() string { return "pool: exchange: " + se.Err.Error() }

// Unwrap returns the cause.
func (se *SendError) Unwrap() error { return se.Err }

// Do sends a request and reads the answer's head. It skips answers for which match returns false,
// as they belong to other requests. An answer may come a second time where the next one is due, so a request
// must not be sent again on a connection that has carried it already. The connection is closed if the context ends before
// Answer.Close.
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

// exchange writes a request and reads the head of its answer.
func (co *Conn) exchange(rq *Request, match func(hd http.Header) bool) (*Answer, error) {
	head := rq.head()
	writeDone := make(chan error, 1)
	if len(rq.Body) <= maxInlineBodyBytes {
		count, err := co.nc.Write(append(head, rq.Body...))
		if err != nil {
			return nil, &SendError{Written: count > 0, Err: err}
		}
		writeDone <- nil
	} else {
		// A server may answer before it has read the whole body.
		go func() {
			// The body is not copied.
			_, err := co.nc.WriteParts(net.Buffers{head, rq.Body})
			writeDone <- err
		}()
	}
	co.hr.allow(co.po.headBytesMax)
	skippedCount := 0
	for range maxSkippedAnswers + 1 {
		resp, err := co.readHead(rq.Method) //nolint:bodyclose // the body is a part of the connection, which Answer.Close keeps or closes
		if err != nil {
			return nil, &SendError{Written: true, Err: err}
		}
		if reply.IsInterimStatus(resp.StatusCode) {
			continue
		}
		if !match(resp.Header) {
			if err := co.skipAnswer(resp); err != nil {
				return nil, err
			}
			skippedCount++
			continue
		}
		an := co.newAnswer(resp, writeDone)
		an.SkippedCount = skippedCount
		return an, nil
	}
	return nil, &SendError{Written: true, Err: errors.New("the server sent only answers to other requests")}
}

// readHead reads the head of an answer. It fails with reply.ErrInvalid if that is invalid.
func (co *Conn) readHead(method string) (*http.Response, error) {
	read, err := co.br.Peek(co.br.Buffered())
	if err != nil {
		return nil, err
	}
	co.hr.begin(read)
	resp, err := http.ReadResponse(co.br, &http.Request{Method: method})
	head := co.hr.end(co.br.Buffered())
	if err != nil {
		return nil, err
	}
	return resp, reply.CheckHead(head)
}

// skipAnswer reads and discards an answer that belongs to another request. It fails if the answer
// cannot be read, is longer than maxSkippedBodyBytes or ends with the connection.
func (co *Conn) skipAnswer(resp *http.Response) error {
	count, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBodyBytes+1))
	if err != nil || count > maxSkippedBodyBytes || resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return &SendError{Written: true, Err: errors.New("the connection cannot be used after an answer to another request")}
	}
	return nil
}

// newAnswer returns the Answer for a response.
func (co *Conn) newAnswer(resp *http.Response, writeDone chan error) *Answer {
	an := &Answer{Status: resp.StatusCode, Header: resp.Header, co: co, resp: resp, writeDone: writeDone}
	an.framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	an.reusable = an.framed && !resp.Close
	co.updateIdleTimeout(resp.Header)
	an.Body = &answerBody{an: an}
	if resp.ContentLength == 0 {
		an.complete = true
	}
	return an
}

// answerBody reads an answer's body and records that it was read completely.
type answerBody struct {
	an *Answer
}

// Read implements io.Reader.
func (ab *answerBody) Read(buf []byte) (int, error) {
	count, err := ab.an.resp.Body.Read(buf)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		if trailerErr := reply.CheckTrailer(ab.an.resp.Trailer); trailerErr != nil {
			return count, trailerErr
		}
		ab.an.complete = true
		return count, io.EOF
	}
	return count, err
}

// Length returns the length of the body in bytes as stated by the server, or -1 if it states none.
func (an *Answer) Length() int64 { return an.resp.ContentLength }

// Framed reports whether the answer's head says where its body ends. Otherwise the body ends with the connection.
func (an *Answer) Framed() bool { return an.framed }

// Close ends the exchange. It returns the connection to the pool if the request was written, the
// complete answer was read and no data follows it. Otherwise it closes the connection.
func (an *Answer) Close() {
	notCanceled := an.stop()
	requestSent := false
	select {
	case err := <-an.writeDone:
		requestSent = err == nil
	default:
	}
	if notCanceled && requestSent && an.complete && an.reusable && an.co.br.Buffered() == 0 {
		an.co.po.putIdle(an.co)
		return
	}
	an.co.Close()
}

// updateIdleTimeout adopts the idle timeout that a server states in its Keep-Alive header.
func (co *Conn) updateIdleTimeout(hd http.Header) {
	for _, part := range strings.Split(hd.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			co.idleTimeout = time.Duration(min(seconds, int(maxIdleTimeout/time.Second))) * time.Second
		}
	}
}

// head returns the request line and the headers. The buffer has room for a body that is written with them.
func (rq *Request) head() []byte {
	buf := bytes.Buffer{}
	buf.Grow(1024 + min(len(rq.Body), maxInlineBodyBytes))
	buf.WriteString(rq.Method)
	buf.WriteByte(' ')
	buf.WriteString(rq.Target)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(rq.Host)
	buf.WriteString("\r\n")
	// Writing to a bytes.Buffer does not fail.
	_ = rq.Header.Write(&buf)
	if len(rq.Body) > 0 || rq.Method != http.MethodGet && rq.Method != http.MethodHead {
		buf.WriteString("Content-Length: ")
		buf.WriteString(strconv.Itoa(len(rq.Body)))
		buf.WriteString("\r\n")
	}
	buf.WriteString("\r\n")
	return buf.Bytes()
}
