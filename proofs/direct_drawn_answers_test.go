package proofs

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Classes of faults that can be left out, by the causes of finds that they show.
const (
	classUnframed  = "unframed"
	classNoStream  = "nostream"
	classFollowing = "following"
	classBeginning = "beginning"
	classServices  = "services"
)

// answersFault changes a share of a server's answers for a time.
type answersFault struct {
	Server string
	Lasts  time.Duration
	Share  float64
	Way    answerWay
}

// answerWay is a way to change an answer, of a class of faults or of none.
type answerWay interface {
	answerFault
	class() string
}

func (fa *answersFault) class() string { return fa.Way.class() }

func (fa *answersFault) happen(dw *drawnWorld) {
	sv := dw.server(fa.Server)
	sv.setFault(fa, true)
	time.Sleep(fa.Lasts)
	sv.setFault(fa, false)
}

// change changes the answer in a share of all cases.
func (fa *answersFault) change(ra rawAnswer, rn *rand.Rand) rawAnswer {
	if rn.Float64() >= fa.Share {
		return ra
	}
	return fa.Way.change(ra, rn)
}

// setFault adds a fault to the server's, or removes it.
func (sv *drawnServer) setFault(af *answersFault, present bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.faults = slices.DeleteFunc(slices.Clone(sv.faults), func(other answerFault) bool { return other == answerFault(af) })
	if present {
		sv.faults = append(sv.faults, af)
	}
}

// cutAnswers cuts answers at any byte. Only cuts of streams may be unframed: nobody can tell a cut of another answer
// without framing from its end.
type cutAnswers struct{ Resets, Unframed bool }

func (ca cutAnswers) class() string {
	if ca.Unframed {
		return classUnframed
	}
	return ""
}

func (ca cutAnswers) change(ra rawAnswer, rn *rand.Rand) rawAnswer {
	if ca.Unframed && (ra.request.streams && ra.contentType == streamType && ra.runs || ca.Resets) {
		ra.framing = noFraming
	}
	// Another fault may have left the framing out.
	ra.resets = ca.Resets || ra.framing == noFraming && !ca.Unframed
	ra.cutAt = rn.IntN(len(strings.Join(ra.pieces(ra.id), "")))
	return ra
}

// unframedAnswers sends whole answers that end with their connection, or with the run of their server.
type unframedAnswers struct{}

func (unframedAnswers) class() string { return classUnframed }

func (unframedAnswers) change(ra rawAnswer, _ *rand.Rand) rawAnswer {
	if ra.cutAt < 0 {
		ra.framing = noFraming
	}
	return ra
}

// stalledAnswers stand still for a time, before any of their pieces.
type stalledAnswers struct{ For time.Duration }

func (stalledAnswers) class() string { return "" }

func (sa stalledAnswers) change(ra rawAnswer, rn *rand.Rand) rawAnswer {
	ra.stallAt, ra.stall = rn.IntN(len(ra.parts)+1), sa.For
	return ra
}

// repeatedAnswers come once more where the next answer of their connection is due, with their ID or without one.
type repeatedAnswers struct{ Anonymous bool }

func (repeatedAnswers) class() string { return "" }

func (ra repeatedAnswers) change(answer rawAnswer, _ *rand.Rand) rawAnswer {
	answer.repeats, answer.anonymous = true, ra.Anonymous
	return answer
}

// otherAnswers are sent instead of those that run.
type otherAnswers struct {
	Status, Type, Body string
	// Foreign answers lack the seal of the server, Declined ones say that the request did not run.
	Foreign, Declined bool
}

// otherAnswersDrawn are the ones that are drawn.
var otherAnswersDrawn = []otherAnswers{
	{Status: "500 Internal Server Error", Type: "application/json", Body: `{"error":"overloaded"}`},
	{Status: "500 Internal Server Error", Type: "application/json", Body: "data: overloaded\n\n"},
	{Status: "502 Bad Gateway"},
	{Status: "404 Not Found", Type: "application/json", Body: "{}"},
	{Status: "302 Found"},
	{Status: "503 Service Unavailable", Declined: true},
	{Status: "200 OK", Type: "text/html", Body: "<p>maintenance</p>", Foreign: true},
	{Status: "504 Gateway Timeout", Foreign: true},
	{Status: "200 OK", Type: "application/json", Body: `{"error":"overloaded"}`},
	{Status: "200 OK", Body: "data: overloaded\n\n"},
	{Status: "204 No Content"},
	{Status: "202 Accepted", Type: streamType},
	{Status: "200 OK", Type: "application/json"},
}

func (oa otherAnswers) class() string {
	if strings.HasPrefix(oa.Status, "20") && !oa.Foreign {
		return classNoStream
	}
	return ""
}

func (oa otherAnswers) change(ra rawAnswer, _ *rand.Rand) rawAnswer {
	if !ra.runs {
		return ra
	}
	ra.status, ra.contentType, ra.framing, ra.runs = oa.Status, oa.Type, sizedFraming, !oa.Declined
	ra.parts = nil
	if oa.Body != "" {
		ra.parts = []string{oa.Body}
	}
	ra.lines = ra.lines[:1:1]
	switch {
	case oa.Declined:
		ra.lines = append(ra.lines, headerNotRun+": 1")
	case !oa.Foreign:
		ra.lines = append(ra.lines, headerSeal+": yes")
	}
	if strings.HasPrefix(oa.Status, "204") {
		ra.framing = noBodyFraming
	}
	return ra
}

// strayAnswers are streams whose events do not follow the last one that the caller has.
type strayAnswers struct{ How strayHow }

// strayHow is where a stream goes on instead.
type strayHow string

// Where streams go on instead of after the last event.
const (
	fromStart strayHow = "from the start"
	lastAgain strayHow = "with the last event again"
	oneLess   strayHow = "without an event"
	goesBack  strayHow = "back to an earlier event"
	// beginsLate is a stream without the first event that its caller needs. Nothing before it tells that it is missing.
	beginsLate strayHow = "without the caller's first event"
)

func (sa strayAnswers) class() string {
	if sa.How == beginsLate {
		return classBeginning
	}
	return classFollowing
}

func (sa strayAnswers) change(ra rawAnswer, _ *rand.Rand) rawAnswer {
	if ra.contentType != streamType || len(ra.parts) < 2 {
		return ra
	}
	events, _ := parseEvents(ra.parts[0])
	earlier := []string(nil)
	for number := 1; number < events[0].number; number++ {
		earlier = append(earlier, eventOf(number, events[0].stream, events[0].software, events[0].run))
	}
	parts := append([]string(nil), ra.parts...)
	begins := ra.request.last == ra.request.asked
	if begins != (sa.How == beginsLate) && (sa.How == oneLess || sa.How == beginsLate) {
		return ra
	}
	switch sa.How {
	case fromStart:
		parts = append(earlier, parts...)
	case lastAgain:
		parts = append(earlier[max(0, len(earlier)-1):], parts...)
	case oneLess, beginsLate:
		parts = parts[1:]
	case goesBack:
		parts = append([]string{parts[0], parts[1], parts[0]}, parts[1:]...)
	}
	ra.parts = parts
	return ra
}
