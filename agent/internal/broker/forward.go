package broker

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"github.com/bambooladder/bambooladder/agent/internal/client"
	"github.com/bambooladder/bambooladder/agent/internal/output"
	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/reply"
	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	// lineBytesMax bounds a line of an event stream.
	lineBytesMax = 1 << 20
	// chunkBytes is the size of the chunks in which a plain service's answer is sent.
	chunkBytes = 4 << 10
	// answerBytesMax bounds what is read of an engine's answer that is not a stream.
	answerBytesMax = 16 << 20
	// lineBufferBytes is the initial size of the buffer for lines of an event stream.
	lineBufferBytes = 4 << 10

	streamType         = "text/event-stream"
	dataPrefix         = "data: "
	doneEvent          = "[DONE]"
	reasonBackendLost  = "backend_lost"
	reasonWrongAdapter = "wrong_adapter"
	reasonOtherAnswer  = "other_answer"
	// reasonInvalidAnswer means that the backend server has sent an invalid response.
	reasonInvalidAnswer = "invalid_answer"
	// reasonOverBudget means that the answer needed more memory than the agent has for it.
	reasonOverBudget = "answer_over_budget"
	// reasonDeadline is also the reason if the attempt was stopped, as both end requestCtx.
	reasonDeadline      = "deadline"
	reasonEngineCrashed = "engine_crashed"
)

var (
	errWrongAdapter = errors.New("broker: the engine answered with another adapter")
	errNotWhole     = errors.New("broker: an answer or an event is no whole JSON; the engine may have ended within it")
	errNoStreamLine = errors.New("broker: a line of the stream is no part of one; look at what the engine sends")
	errNoEvent      = errors.New("broker: the stream ended before its first event; look at what the engine sends")
)

// forwarding is a request that is being forwarded to the backend server.
type forwarding struct {
	cl *client.Client
	di *wire.Dispatch
	// handle is the adapter's handle at the engine, empty for a plain service.
	handle string
	out    *output.Output
	// boot identifies the engine process as of the time when the request was forwarded.
	boot string
	// budget limits the memory of all answers, buffer is the share of this one.
	budget *answerBudget
	buffer *answerBuffer
}

// run forwards the request, sends the answer to the entry node and returns how it ended. The request
// runs in requestCtx, which ends at its deadline or when the attempt is stopped. What has to be done
// after that runs in ctx.
func (fw *forwarding) run(requestCtx, ctx context.Context) *forwardResult {
	res := &forwardResult{attempt: fw.di.Attempt, handle: fw.handle, outcome: answered, reason: "whole"}
	fw.buffer, requestCtx = fw.budget.open(requestCtx)
	defer fw.buffer.release()
	resp, err := fw.cl.Forward(requestCtx, fw.di, fw.handle)
	if err != nil {
		return fw.handleFailure(requestCtx, ctx, res, err)
	}
	defer func() { _ = resp.Body.Close() }()
	res.boot = resp.Header.Get(client.BootHeader)
	if fw.handle != "" {
		if outcome, ok := statusNotRun(resp.StatusCode); ok {
			res.outcome = outcome
			res.reason = "engine_status_" + strconv.Itoa(resp.StatusCode)
			return res
		}
	}
	if err := fw.sendAnswer(requestCtx, resp); err != nil {
		return fw.handleFailure(requestCtx, ctx, res, err)
	}
	return res
}

// handleFailure sets the result of a request that failed with an error. Unless the backend server
// refused the connection, it cancels the request at the engine and ends the answer as incomplete.
func (fw *forwarding) handleFailure(requestCtx, ctx context.Context, res *forwardResult, err error) *forwardResult {
	if errors.Is(err, syscall.ECONNREFUSED) {
		res.outcome = notRun
		res.reason = "backend_refused_connection"
		return res
	}
	res.reason = reasonBackendLost
	res.abandoned = true
	switch {
	case errors.Is(err, errWrongAdapter):
		res.reason = reasonWrongAdapter
	case errors.Is(err, client.ErrOtherAnswer):
		res.reason = reasonOtherAnswer
	case errors.Is(err, reply.ErrInvalid):
		res.reason = reasonInvalidAnswer
		metricInvalidAnswers.Add(1)
	case errors.Is(err, errOverBudget), errors.Is(err, reply.ErrTooLong), errors.Is(context.Cause(requestCtx), errOverBudget):
		res.reason = reasonOverBudget
		metricOverBudget.Add(1)
	case requestCtx.Err() != nil:
		res.reason = reasonDeadline
	}
	crashID := ""
	if fw.handle != "" {
		boot, err := fw.cl.Cancel(ctx, fw.di.Attempt)
		if err != nil {
			res.outcome = mayStillRun
		}
		crashID = fw.crashID(boot, err)
	}
	if crashID != "" {
		res.reason = reasonEngineCrashed
	}
	fw.out.End(ctx, false, res.reason, crashID)
	return res
}

// crashID returns an ID for the crash of the engine process that ran the request, or "" if it has
// not crashed. It has crashed if the cancellation was answered by another engine process, or was not
// answered because the host refused the connection.
func (fw *forwarding) crashID(boot string, err error) string {
	connRefused := errors.Is(err, syscall.ECONNREFUSED)
	if fw.boot == "" || !connRefused && (boot == "" || boot == fw.boot) {
		return ""
	}
	return fw.cl.BaseURL() + "/" + fw.boot
}

// sendAnswer sends the backend server's answer to the entry node.
func (fw *forwarding) sendAnswer(ctx context.Context, resp *http.Response) error {
	contentType := resp.Header.Get("Content-Type")
	switch {
	case fw.handle == "":
		return fw.sendUnchanged(ctx, resp, contentType)
	case strings.HasPrefix(contentType, streamType):
		return fw.sendEvents(ctx, resp)
	}
	return fw.sendJSON(ctx, resp, contentType)
}

// sendUnchanged sends a plain service's answer as it is.
func (fw *forwarding) sendUnchanged(ctx context.Context, resp *http.Response, contentType string) error {
	fw.out.Head(resp.StatusCode, contentType, resp.Header.Get(client.SoftwareHeader))
	if err := fw.sendChunks(ctx, resp.Body); err != nil {
		return err
	}
	fw.out.End(ctx, true, "", "")
	return nil
}

// sendChunks sends what a reader returns, in chunks.
func (fw *forwarding) sendChunks(ctx context.Context, rd io.Reader) error {
	for {
		chunk := make([]byte, chunkBytes)
		count, err := io.ReadFull(rd, chunk)
		if count > 0 {
			if sendErr := fw.out.Chunk(ctx, chunk[:count]); sendErr != nil {
				return sendErr
			}
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return checkCleanEnd(rd)
		}
		if err != nil {
			return errors.Wrap(err, "broker: read answer")
		}
	}
}

// checkCleanEnd returns an error if the connection was closed in the middle of the answer.
// io.ReadFull returns the same error for that and for the end of a complete answer.
func checkCleanEnd(rd io.Reader) error {
	if _, err := rd.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.New("broker: the connection closed before the end of the answer")
	}
	return nil
}

// sendJSON sends a JSON answer with the adapter's name and version instead of its
// handle.
func (fw *forwarding) sendJSON(ctx context.Context, resp *http.Response, contentType string) error {
	data, err := fw.buffer.readWhole(resp.Body, answerBytesMax)
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusOK {
		if data, err = fw.replaceModel(data); err != nil {
			return err
		}
	}
	fw.out.Head(resp.StatusCode, contentType, resp.Header.Get(client.SoftwareHeader))
	return fw.out.Finish(ctx, data)
}

// sendEvents sends the events of a stream, each with the adapter's name and version instead of its
// handle. A stream without an event answers nothing, neither from the start nor where one goes on.
func (fw *forwarding) sendEvents(ctx context.Context, resp *http.Response) error {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, lineBufferBytes), lineBytesMax)
	lines.Split(fw.splitLines)
	first := true
	for lines.Scan() {
		data, err := eventData(lines.Bytes())
		if err != nil {
			return err
		}
		if data == nil {
			continue
		}
		if string(data) == doneEvent {
			if first {
				return errNoEvent
			}
			return fw.out.Finish(ctx, []byte(dataPrefix+doneEvent+"\n\n"))
		}
		replaced, err := fw.replaceModel(data)
		if err != nil {
			return err
		}
		if first {
			first = false
			fw.out.Head(resp.StatusCode, streamType, resp.Header.Get(client.SoftwareHeader))
		}
		if err := fw.out.Chunk(ctx, formatEvent(replaced)); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "broker: read stream")
	}
	return errors.New("broker: the stream ended before its last event")
}

// splitLines splits a stream into lines. For a line that has not ended, the scanner doubles its buffer.
func (fw *forwarding) splitLines(data []byte, atEOF bool) (int, []byte, error) {
	advance, line, err := bufio.ScanLines(data, atEOF)
	if advance == 0 && line == nil && err == nil && !fw.buffer.grow(max(lineBufferBytes, 2*len(data))) {
		return 0, nil, errOverBudget
	}
	return advance, line, err
}

// eventData returns the data of a line of an event stream, nil if it has none: an empty line, a comment or another field.
// Any other line is no part of a stream, so what follows it is none either.
func eventData(line []byte) ([]byte, error) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "data":
		return bytes.TrimPrefix(value, []byte(" ")), nil
	case "", "event", "id", "retry":
		return nil, nil
	}
	return nil, errNoStreamLine
}

// formatEvent formats data as a server-sent event.
func formatEvent(data []byte) []byte {
	ev := make([]byte, 0, len(dataPrefix)+len(data)+2)
	ev = append(ev, dataPrefix...)
	ev = append(ev, data...)
	return append(ev, '\n', '\n')
}

// replaceModel checks that an answer or an event is whole and that its model is the requested handle, and replaces it by
// the adapter's name and version. Neither the end of a connection nor that of a line shows that a text is whole, but no
// part of a JSON object is one.
func (fw *forwarding) replaceModel(data []byte) ([]byte, error) {
	if !gjson.ValidBytes(data) {
		return nil, errNotWhole
	}
	model := gjson.GetBytes(data, "model")
	if model.String() != fw.handle {
		return nil, errors.Wrapf(errWrongAdapter, "asked for %s, got %q", fw.handle, model.String())
	}
	name := strconv.Quote(conf.AdapterVersion{Adapter: fw.di.Adapter, Version: fw.di.Version}.String())
	replaced := make([]byte, 0, len(data)-len(model.Raw)+len(name))
	replaced = append(replaced, data[:model.Index]...)
	replaced = append(replaced, name...)
	return append(replaced, data[model.Index+len(model.Raw):]...), nil
}
