package proofs

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// streamType is the type of answers that are streams.
const streamType = "text/event-stream"

// headerAsked names the event after which a caller asks for the rest, which entry nodes pass on as it is.
const headerAsked = "T-Asked"

// resetDelay is how long a server waits before it resets a connection, so that what it wrote arrives.
const resetDelay = 3 * time.Millisecond

// drawnServer is a backend server with the faults that it has at a time.
type drawnServer struct {
	ba    *backend
	world *drawnWorld

	mu     sync.Mutex
	faults []answerFault
	conns  map[net.Conn]bool
	// leaving is true if the server declines requests because it is about to leave.
	leaving bool
	// leaves is true once the server is about to leave for good, gone once it has.
	leaves, gone bool
	// busyUntil is until when requests wait in its queue.
	busyUntil time.Time
}

// answerFault changes the answers of a server.
type answerFault interface {
	// change returns the answer as it is sent instead.
	change(ra rawAnswer, rn *rand.Rand) rawAnswer
}

// rawAnswer is an answer as the bytes that a server sends.
type rawAnswer struct {
	// status, id and contentType are parts of the head, id is empty for none.
	status          string
	id, contentType string
	lines           []string
	framing         answerFraming
	// parts are the parts of the body, each after a period.
	parts  []string
	period time.Duration
	// cutAt is the number of bytes after which the answer ends, negative for none.
	cutAt  int
	resets bool
	// stall is how long the server stands still before the part stallAt.
	stall   time.Duration
	stallAt int
	// runs is true if the request runs, repeats if the answer is sent once more before the next one, without its ID if
	// anonymous.
	runs, repeats, anonymous bool
	request                  *streamRequest
	// run is the index of the run. broke is true once the server has broken it off.
	run   int
	broke bool
}

// answerFraming is how an answer says where it ends.
type answerFraming int

// Framings.
const (
	chunkedFraming answerFraming = iota
	sizedFraming
	noFraming
	// noBodyFraming is that of an answer whose status says that it has no body.
	noBodyFraming
)

// streamRequest is what a request asks for, as its target says.
type streamRequest struct {
	id, name     string
	length, last int
	// asked is the number of the event after which the caller asked for the rest.
	asked  int
	period time.Duration
	// work is how long the server works before it sends the first part of the answer, after the head if headFirst.
	work      time.Duration
	headFirst bool
	streams   bool
	adapter   string
	server    string
}

// parseStreamRequest reads a request.
func parseStreamRequest(rq *http.Request) *streamRequest {
	query := url.Values{}
	if target, err := url.ParseRequestURI(rq.RequestURI); err == nil {
		query = target.Query()
	}
	sr := &streamRequest{id: rq.Header.Get(headerID), name: query.Get("name"), adapter: rq.Header.Get(headerAdapter), server: rq.Header.Get(headerServer)}
	sr.length, _ = strconv.Atoi(query.Get("length"))
	millis, _ := strconv.Atoi(query.Get("period"))
	sr.period = time.Duration(millis) * time.Millisecond
	millis, _ = strconv.Atoi(query.Get("work"))
	sr.work, sr.headFirst = time.Duration(millis)*time.Millisecond, query.Get("head") == "true"
	sr.last, _ = strconv.Atoi(rq.Header.Get(headerLastEvent))
	sr.asked, _ = strconv.Atoi(rq.Header.Get(headerAsked))
	sr.streams = sr.adapter != ""
	return sr
}

// ServeHTTP answers the requests of a connection, one after the other.
func (sv *drawnServer) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	_, _ = io.Copy(io.Discard, rq.Body)
	nc, bw, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		return
	}
	sv.track(nc, true)
	defer sv.track(nc, false)
	extra := ""
	for ok := true; ok && rq != nil; rq = nextRequest(bw) {
		_, _ = io.WriteString(nc, extra)
		ra := sv.respond(rq)
		ok = ra.write(nc)
		sv.world.endRun(&ra)
		if !ok {
			break
		}
		extra = ra.repetition()
	}
	_ = nc.Close()
}

// track adds a connection to those that are open, or removes it.
func (sv *drawnServer) track(nc net.Conn, open bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if open {
		sv.conns[nc] = true
		return
	}
	delete(sv.conns, nc)
}

// closeConns ends all connections, in an orderly way or with a reset.
func (sv *drawnServer) closeConns(resets bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for nc := range sv.conns {
		endConn(nc, resets)
	}
	sv.conns = map[net.Conn]bool{}
}

// endConn ends a connection in an orderly way or with a reset.
func endConn(nc net.Conn, resets bool) {
	if co, ok := nc.(*conn); ok && resets {
		co.cut()
		return
	}
	_ = nc.Close()
}

// respond returns the server's answer to any request.
func (sv *drawnServer) respond(rq *http.Request) rawAnswer {
	if report, ok := sv.ba.report(rq); ok {
		return rawAnswer{status: "200 OK", cutAt: -1, framing: sizedFraming, parts: []string{report}}
	}
	sr := parseStreamRequest(rq)
	sv.world.recordArrival(drawnArrival{id: sr.id, server: sv.ba.id, at: time.Now()})
	sv.awaitPlace()
	return sv.answer(sr)
}

// answer returns the server's answer to a request.
func (sv *drawnServer) answer(sr *streamRequest) rawAnswer {
	ra := sv.soundAnswer(sr)
	sv.mu.Lock()
	faults := append([]answerFault(nil), sv.faults...)
	sv.mu.Unlock()
	rn := sv.world.randomFor(sr.id)
	for _, af := range faults {
		ra = af.change(ra, rn)
	}
	if ra.runs {
		ra.run = sv.world.recordRun(drawnRun{id: sr.id, server: sv.runName(), at: time.Now(), body: strings.Join(ra.parts, "")})
	}
	return ra
}

// runName returns the name of the server's present run.
func (sv *drawnServer) runName() string {
	sv.ba.mu.Lock()
	defer sv.ba.mu.Unlock()
	return fmt.Sprintf("%s#%d", sv.ba.announcedID, sv.ba.born)
}

// soundAnswer returns the answer of a server without faults.
func (sv *drawnServer) soundAnswer(sr *streamRequest) rawAnswer {
	sv.ba.mu.Lock()
	software, id, loaded := sv.ba.software, sv.ba.announcedID, sv.ba.loaded[sr.adapter] > 0
	sv.ba.mu.Unlock()
	sv.mu.Lock()
	leaving := sv.leaving
	sv.mu.Unlock()
	ra := rawAnswer{id: sr.id, cutAt: -1, framing: sizedFraming, request: sr, lines: []string{headerServer + ": " + id}}
	switch {
	case sr.server != id || sr.streams && !loaded:
		ra.status = "421 Misdirected Request"
	case leaving:
		ra.status = "503 Service Unavailable"
		ra.lines = append(ra.lines, headerNotRun+": 1", headerLeaving+": 1")
	default:
		return sv.runAnswer(ra, software)
	}
	return ra
}

// runAnswer returns the answer of a server that runs the request.
func (sv *drawnServer) runAnswer(ra rawAnswer, software string) rawAnswer {
	sr := ra.request
	ra.status, ra.runs, ra.period = "200 OK", true, sr.period
	ra.stall = sr.work
	if sr.headFirst {
		ra.stallAt = 1
	}
	ra.lines = append(ra.lines, headerSeal+": yes")
	if !sr.streams {
		ra.parts = []string{"answer to " + sr.id + " by " + sv.runName()}
		return ra
	}
	ra.framing, ra.contentType = chunkedFraming, streamType
	for number := sr.last + 1; number <= sr.length; number++ {
		ra.parts = append(ra.parts, eventOf(number, sr.name, software, sv.runName()))
	}
	return ra
}

// head returns the head of the answer.
func (ra *rawAnswer) head(id string) string {
	text := "HTTP/1.1 " + ra.status + "\r\n"
	if id != "" {
		text += headerID + ": " + id + "\r\n"
	}
	if ra.contentType != "" {
		text += "Content-Type: " + ra.contentType + "\r\n"
	}
	for _, line := range ra.lines {
		text += line + "\r\n"
	}
	switch ra.framing {
	case chunkedFraming:
		text += "Transfer-Encoding: chunked\r\n"
	case sizedFraming:
		text += fmt.Sprintf("Content-Length: %d\r\n", len(strings.Join(ra.parts, "")))
	case noFraming, noBodyFraming:
	}
	return text + "\r\n"
}

// pieces returns the bytes of the answer as the server writes them.
func (ra *rawAnswer) pieces(id string) []string {
	list := []string{ra.head(id)}
	for _, part := range ra.parts {
		if ra.framing == chunkedFraming {
			part = encodeChunk(part)
		}
		list = append(list, part)
	}
	if ra.framing == chunkedFraming {
		list = append(list, lastChunk)
	}
	return list
}

// write writes the answer, and reports whether the connection can carry another one.
func (ra *rawAnswer) write(nc net.Conn) bool {
	left := ra.cutAt
	for ix, piece := range ra.pieces(ra.id) {
		if ix == ra.stallAt {
			time.Sleep(ra.stall)
		}
		if ix > 0 && piece != lastChunk {
			time.Sleep(ra.period)
		}
		if ra.cutAt >= 0 && left < len(piece) {
			_, _ = io.WriteString(nc, piece[:left])
			time.Sleep(resetDelay)
			endConn(nc, ra.resets)
			ra.broke = true
			return false
		}
		left -= len(piece)
		if _, err := io.WriteString(nc, piece); err != nil {
			return false
		}
	}
	return ra.framing != noFraming
}

// repetition returns what the server sends once more before its next answer.
func (ra *rawAnswer) repetition() string {
	if !ra.repeats {
		return ""
	}
	id := ra.id
	if ra.anonymous {
		id = ""
	}
	return strings.Join(ra.pieces(id), "")
}
