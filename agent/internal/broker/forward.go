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
	"github.com/bambooladder/bambooladder/core/wire"
)

const (
	lineBytesMax  = 1 << 20
	pieceBytes    = 4 << 10
	answerMax     = 16 << 20
	readerBytes   = 4 << 10
	streamType    = "text/event-stream"
	dataPrefix    = "data: "
	doneEvent     = "[DONE]"
	reasonLost    = "backend_lost"
	reasonWrong   = "wrong_adapter"
	reasonTimeout = "deadline"
	reasonCrashed = "engine_crashed"
)

var errWrongAdapter = errors.New("broker: the engine answered with another adapter")

// forwarding is one request on its way through the backend server.
type forwarding struct {
	cl     *client.Client
	di     *wire.Dispatch
	handle string
	out    *output.Output
	// boot is the engine's boot when the request was forwarded.
	boot string
}

// run forwards the request, passes the answer on and returns how it ended. The
// running context ends with the request's time; ctx outlives it.
func (fw *forwarding) run(running, ctx context.Context) *attemptEnded {
	en := &attemptEnded{attempt: fw.di.Attempt, handle: fw.handle, how: answered, reason: "whole"}
	resp, err := fw.cl.Forward(running, fw.di, fw.handle)
	if err != nil {
		return fw.failed(running, ctx, en, err)
	}
	defer func() { _ = resp.Body.Close() }()
	en.boot = resp.Header.Get(client.BootHeader)
	if fw.handle != "" {
		if how, ok := statusNotRun(resp.StatusCode); ok {
			en.how = how
			en.reason = "engine_status_" + strconv.Itoa(resp.StatusCode)
			return en
		}
	}
	if err := fw.pass(running, resp); err != nil {
		return fw.failed(running, ctx, en, err)
	}
	return en
}

// failed decides what an error means for the attempt and closes its answer.
func (fw *forwarding) failed(running, ctx context.Context, en *attemptEnded, err error) *attemptEnded {
	if errors.Is(err, syscall.ECONNREFUSED) {
		en.how = notRun
		en.reason = "backend_refused_connection"
		return en
	}
	en.reason = reasonLost
	en.cut = true
	switch {
	case errors.Is(err, errWrongAdapter):
		en.reason = reasonWrong
	case running.Err() != nil:
		en.reason = reasonTimeout
	}
	crash := ""
	if fw.handle != "" {
		boot, err := fw.cl.Cancel(ctx, fw.di.Attempt)
		if err != nil {
			en.how = doubtful
		}
		crash = fw.crash(boot, err)
	}
	if crash != "" {
		en.reason = reasonCrashed
	}
	fw.out.End(ctx, false, en.reason, crash)
	return en
}

// crash identifies the engine's crash, if the request was running at one: the engine
// has another boot or its host refuses connections.
func (fw *forwarding) crash(boot string, err error) string {
	gone := errors.Is(err, syscall.ECONNREFUSED)
	if fw.boot == "" || !gone && (boot == "" || boot == fw.boot) {
		return ""
	}
	return fw.cl.Base() + "/" + fw.boot
}

// pass sends the answer on.
func (fw *forwarding) pass(ctx context.Context, resp *http.Response) error {
	contentType := resp.Header.Get("Content-Type")
	switch {
	case fw.handle == "":
		return fw.passBytes(ctx, resp, contentType)
	case strings.HasPrefix(contentType, streamType):
		return fw.passEvents(ctx, resp)
	}
	return fw.passBody(ctx, resp, contentType)
}

// passBytes sends a plain service's answer on as it is.
func (fw *forwarding) passBytes(ctx context.Context, resp *http.Response, contentType string) error {
	fw.out.Head(resp.StatusCode, contentType)
	if err := fw.passPieces(ctx, resp.Body); err != nil {
		return err
	}
	fw.out.End(ctx, true, "", "")
	return nil
}

// passPieces sends on what a reader holds, piece by piece.
func (fw *forwarding) passPieces(ctx context.Context, rd io.Reader) error {
	for {
		piece := make([]byte, pieceBytes)
		count, err := io.ReadFull(rd, piece)
		if count > 0 {
			if sent := fw.out.Chunk(ctx, piece[:count]); sent != nil {
				return sent
			}
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return lastRead(rd)
		}
		if err != nil {
			return errors.Wrap(err, "broker: read answer")
		}
	}
}

// lastRead tells a clean end from a cut connection, which io.ReadFull reports alike.
func lastRead(rd io.Reader) error {
	if _, err := rd.Read(make([]byte, 1)); !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.New("broker: the answer was cut short")
	}
	return nil
}

// passBody sends a whole JSON answer on under the name the caller used.
func (fw *forwarding) passBody(ctx context.Context, resp *http.Response, contentType string) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, answerMax))
	if err != nil {
		return errors.Wrap(err, "broker: read answer")
	}
	if resp.StatusCode == http.StatusOK {
		if data, err = fw.rename(data); err != nil {
			return err
		}
	}
	fw.out.Head(resp.StatusCode, contentType)
	return fw.out.Whole(ctx, data)
}

// passEvents sends a stream's events on, each under the name the caller used.
func (fw *forwarding) passEvents(ctx context.Context, resp *http.Response) error {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, readerBytes), lineBytesMax)
	first := true
	for lines.Scan() {
		data, found := bytes.CutPrefix(lines.Bytes(), []byte(dataPrefix))
		if !found {
			continue
		}
		if string(data) == doneEvent {
			return fw.out.Whole(ctx, []byte(dataPrefix+doneEvent+"\n\n"))
		}
		renamed, err := fw.rename(data)
		if err != nil {
			return err
		}
		if first {
			first = false
			fw.out.Head(resp.StatusCode, streamType)
		}
		if err := fw.out.Chunk(ctx, eventOf(renamed)); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "broker: read stream")
	}
	return errors.New("broker: the stream ended without its last event")
}

// eventOf renders one server-sent event.
func eventOf(data []byte) []byte {
	ev := make([]byte, 0, len(dataPrefix)+len(data)+2)
	ev = append(ev, dataPrefix...)
	ev = append(ev, data...)
	return append(ev, '\n', '\n')
}

// rename checks that the engine answered with the handle it was asked for and
// puts the adapter's name in its place.
func (fw *forwarding) rename(data []byte) ([]byte, error) {
	model := gjson.GetBytes(data, "model")
	if model.String() != fw.handle {
		return nil, errors.Wrapf(errWrongAdapter, "asked for %s, got %q", fw.handle, model.String())
	}
	name := strconv.Quote(conf.AdapterVersion{Adapter: fw.di.Adapter, Version: fw.di.Version}.String())
	renamed := make([]byte, 0, len(data)-len(model.Raw)+len(name))
	renamed = append(renamed, data[:model.Index]...)
	renamed = append(renamed, name...)
	return append(renamed, data[model.Index+len(model.Raw):]...), nil
}
