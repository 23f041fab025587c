package proofs

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// drawnKind is what a caller asks for.
type drawnKind string

// Kinds of what callers ask for, by the route that leads there.
const (
	askStream drawnKind = "stream"
	askOnce   drawnKind = "once"
	askSafe   drawnKind = "safe"
	askUnsafe drawnKind = "unsafe"
)

// streams reports whether the answer is a stream.
func (dk drawnKind) streams() bool { return dk == askStream || dk == askOnce }

// runsMax returns how often a request may run, as the routes say.
func (dk drawnKind) runsMax() int {
	if dk == askStream || dk == askSafe {
		return 2
	}
	return 1
}

// drawnEvent is one event as a caller got it.
type drawnEvent struct {
	number                int
	stream, software, run string
}

// drawnReply is one request of a caller with what it got.
type drawnReply struct {
	id, entry string
	// raw is true if the caller sent it on a connection of its own. sent is when its last byte was sent, zero if it was not.
	raw  bool
	sent time.Time
	// last is the number of the event after which the request takes the stream up.
	last  int
	start time.Time
	took  time.Duration
	// timeout is how long the caller waits.
	timeout time.Duration
	// status is zero if no head came, broken is the error with which the answer broke off.
	status      int
	contentType string
	broken      string
	body        string
	events      []drawnEvent
	unreadable  string
	resumes     string
}

// looksWhole reports whether a reply is a success that did not break off.
func (dr *drawnReply) looksWhole() bool { return dr.status == 200 && dr.broken == "" }

// end returns when the reply ended.
func (dr *drawnReply) end() time.Time { return dr.start.Add(dr.took) }

// drawnAsk is what a caller wanted, with the requests that it sent for it.
type drawnAsk struct {
	name string
	kind drawnKind
	// length is the number of events of the stream.
	length  int
	replies []drawnReply
	// visit is true if it was drawn for a planned stop.
	visit bool
}

// drawnRun is one run of a request at a server.
type drawnRun struct {
	id, server string
	at         time.Time
	// body is what the server meant to answer with.
	body string
	// end is when the server ended to work on it, zero if it has not. broke is true if the server broke off.
	end   time.Time
	broke bool
}

// drawnSpan is a time in which an entry node did not serve as it should.
type drawnSpan struct {
	entry    string
	from, to time.Time
	// frozen is true if the node stood still, otherwise it was gone.
	frozen bool
}

// overlap returns how much of a reply's time is within the span.
func (ds *drawnSpan) overlap(dr *drawnReply) time.Duration {
	from, to := ds.from, ds.to
	if from.Before(dr.start) {
		from = dr.start
	}
	if to.After(dr.end()) {
		to = dr.end()
	}
	return max(0, to.Sub(from))
}

// touches reports whether a reply was under way in the span, its ends included.
func (ds *drawnSpan) touches(dr *drawnReply) bool {
	return ds.entry == dr.entry && !ds.from.After(dr.end()) && !ds.to.Before(dr.start)
}

// drawnHistory is all that callers and servers recorded.
type drawnHistory struct {
	asks  []drawnAsk
	runs  []drawnRun
	spans []drawnSpan
	// arrivals are the requests that reached servers, stops the planned stops of entry nodes, disturbances the times of what
	// was not planned.
	arrivals     []drawnArrival
	stops        []drawnStop
	disturbances []drawnSpan
	// patient is true if routes let requests take patientTimeout.
	patient bool
}

// runsOf returns the runs of a request.
func (dh *drawnHistory) runsOf(id string) []drawnRun {
	list := []drawnRun(nil)
	for _, dr := range dh.runs {
		if dr.id == id {
			list = append(list, dr)
		}
	}
	return list
}

// eventOf formats an event as servers write it.
func eventOf(number int, stream, software, run string) string {
	return fmt.Sprintf("id: %d\ndata: %s %s %s\n\n", number, stream, software, run)
}

// parseEvents returns the whole events at the start of a body, and what follows them.
func parseEvents(body string) ([]drawnEvent, string) {
	events := []drawnEvent(nil)
	for {
		text, rest, ok := strings.Cut(body, "\n\n")
		if !ok {
			return events, body
		}
		ev, ok := parseEvent(text)
		if !ok {
			return events, body
		}
		events, body = append(events, ev), rest
	}
}

// parseEvent parses one event.
func parseEvent(text string) (drawnEvent, bool) {
	id, data, ok := strings.Cut(text, "\ndata: ")
	number, err := strconv.Atoi(strings.TrimPrefix(id, "id: "))
	fields := strings.Fields(data)
	if !ok || err != nil || len(fields) != 3 {
		return drawnEvent{}, false
	}
	return drawnEvent{number: number, stream: fields[0], software: fields[1], run: fields[2]}, true
}

// withBody returns the reply with a body that it got.
func (dr drawnReply) withBody(body string) drawnReply {
	dr.body = body
	if strings.HasPrefix(dr.contentType, streamType) {
		dr.events, dr.unreadable = parseEvents(body)
	}
	return dr
}

// String returns the reply in one line.
func (dr *drawnReply) String() string {
	text := strings.Builder{}
	fmt.Fprintf(&text, "%s at %s from %s for %v: status %d", dr.id, dr.entry, dr.start.Format("05.000"), dr.took.Round(time.Millisecond), dr.status)
	if dr.last > 0 {
		fmt.Fprintf(&text, ", after %d of %q", dr.last, dr.resumes)
	}
	for _, ev := range dr.events {
		fmt.Fprintf(&text, " %d:%s/%s", ev.number, ev.software, ev.run)
	}
	if dr.unreadable != "" {
		fmt.Fprintf(&text, " then %q", dr.unreadable)
	}
	if len(dr.events) == 0 && dr.body != dr.unreadable {
		fmt.Fprintf(&text, " %.120q", dr.body)
	}
	if dr.broken != "" {
		fmt.Fprintf(&text, ", broken: %s", dr.broken)
	}
	return text.String()
}

// describe returns an ask with its requests and their runs, a line each.
func (dh *drawnHistory) describe(da *drawnAsk) string {
	lines := []string{fmt.Sprintf("%s %s of %d events", da.kind, da.name, da.length)}
	for ix := range da.replies {
		lines = append(lines, "  "+da.replies[ix].String())
		for _, dr := range dh.runsOf(da.replies[ix].id) {
			lines = append(lines, "    ran at "+dr.server+" from "+dr.at.Format("05.000"))
		}
	}
	return strings.Join(slices.Compact(lines), "\n")
}

// randomFor returns the random numbers of the next answer to a request.
func (dw *drawnWorld) randomFor(id string) *rand.Rand {
	ha := fnv.New64a()
	_, _ = io.WriteString(ha, id)
	dw.mu.Lock()
	defer dw.mu.Unlock()
	dw.answers[id]++
	return rand.New(rand.NewPCG(dw.plan.Seed, ha.Sum64()+dw.answers[id]))
}

// recordRun records a run of a request, and returns its index.
func (dw *drawnWorld) recordRun(dr drawnRun) int {
	dw.mu.Lock()
	defer dw.mu.Unlock()
	dw.history.runs = append(dw.history.runs, dr)
	return len(dw.history.runs) - 1
}

// endRun records the end of a run.
func (dw *drawnWorld) endRun(ra *rawAnswer) {
	dw.mu.Lock()
	defer dw.mu.Unlock()
	if ra.runs {
		run := &dw.history.runs[ra.run]
		run.end, run.broke = time.Now(), ra.broke
	}
}

// recordArrival records that a request reached a server.
func (dw *drawnWorld) recordArrival(da drawnArrival) {
	dw.mu.Lock()
	defer dw.mu.Unlock()
	dw.history.arrivals = append(dw.history.arrivals, da)
}
