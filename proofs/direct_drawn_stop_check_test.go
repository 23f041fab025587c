package proofs

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

const (
	// lossSlack is how long after its last byte a request that no server got may end with its connection.
	lossSlack = 200 * time.Millisecond
	// stopSlack is how long after its end a stop still counts.
	stopSlack = time.Second
	// lateAsk is how long after the signal a request may be sent that a server may still be at work on in the end.
	lateAsk = 3 * time.Second
	// lastSixth is when the last sixth of a stop begins.
	lastSixth = stopTime * 5 / 6
	// ownLimitSlack is how much earlier than its time limit an answer may end that reached it.
	ownLimitSlack = 50 * time.Millisecond
)

// drawnArrival is a request that reached a server, whether it ran there or not.
type drawnArrival struct {
	id, server string
	at         time.Time
}

// stopOf returns the planned stop of the entry node of a reply in which the reply ended.
func (dh *drawnHistory) stopOf(dr *drawnReply) (drawnStop, bool) {
	for _, st := range dh.stops {
		if after := dr.end().Sub(st.signal); st.entry == dr.entry && after >= 0 && after <= stopTime+stopSlack {
			return st, true
		}
	}
	return drawnStop{}, false
}

// disturbed reports whether something unplanned happened from stableWindow before a reply to its end.
func (dh *drawnHistory) disturbed(dr *drawnReply) bool {
	for ix := range dh.disturbances {
		span := &dh.disturbances[ix]
		if !span.from.After(dr.end()) && !span.to.Before(dr.start.Add(-stableWindow)) {
			return true
		}
	}
	return false
}

// passedOn reports whether a request reached a server.
func (dh *drawnHistory) passedOn(id string) bool {
	for ix := range dh.arrivals {
		if dh.arrivals[ix].id == id {
			return true
		}
	}
	return len(dh.runsOf(id)) > 0
}

// crosses reports whether a request crossed the end of its connection: no server got it, and nothing came of an answer
// within lossSlack. A request that was not sent whole was not read either.
func (dh *drawnHistory) crosses(dr *drawnReply) bool {
	if !dr.raw || dr.status != 0 {
		return false
	}
	return dr.sent.IsZero() || dr.end().Sub(dr.sent) <= lossSlack && !dh.passedOn(dr.id)
}

// serverEnded reports whether a server broke off a request.
func (dh *drawnHistory) serverEnded(id string) bool {
	for _, run := range dh.runsOf(id) {
		if run.broke {
			return true
		}
	}
	return false
}

// atWorkInTheEnd reports whether a request that came in good time was cut in the last sixth of a stop while a server was at
// work on it.
func (dh *drawnHistory) atWorkInTheEnd(dr *drawnReply, st drawnStop) bool {
	from := st.signal.Add(lastSixth)
	if dr.sent.Sub(st.signal) > lateAsk || dr.end().Before(from) {
		return false
	}
	for _, run := range dh.runsOf(dr.id) {
		if !run.at.After(dr.end()) && (run.end.IsZero() || !run.end.Before(from)) {
			return true
		}
	}
	return false
}

// checkStopLost checks that a planned stop in calm lost no request: one that was read whole gets a complete answer, unless
// the server broke off, its time was over, or it came in good time and a server was still at work on it in the end.
func checkStopLost(dh *drawnHistory, da *drawnAsk) string {
	for ix := range da.replies {
		dr := &da.replies[ix]
		if dr.status != 0 && dr.broken == "" || dr.sent.IsZero() || dh.disturbed(dr) {
			continue
		}
		st, ok := dh.stopOf(dr)
		passedOn := dh.passedOn(dr.id)
		switch {
		case !ok, !passedOn && dr.end().Sub(dr.sent) <= lossSlack, dh.serverEnded(dr.id), dr.took >= min(dr.timeout, dh.routeTimeout())-ownLimitSlack, dh.atWorkInTheEnd(dr, st):
			continue
		}
		return fmt.Sprintf("%s was sent %v after the signal and ended %v after it without a whole answer, passed on: %t", dr.id,
			dr.sent.Sub(st.signal).Round(time.Millisecond), dr.end().Sub(st.signal).Round(time.Millisecond), passedOn)
	}
	return ""
}

// routeTimeout returns the time limit of the routes.
func (dh *drawnHistory) routeTimeout() time.Duration {
	if dh.patient {
		return patientTimeout
	}
	return impatientTimeout
}

// stopCase is a request around a stop whose signal is 1 s after the zero time, in milliseconds after the signal.
type stopCase struct {
	// start, sent and end are those of the request; noSend is true if it was not sent whole.
	start, sent, end int
	noSend           bool
	status           int
	broken           string
	// arrives is true if it reached a server; ran, until and broke are those of its run, ran is negative for none.
	arrives    bool
	ran, until int
	broke      bool
	timeout    time.Duration
	// disturbed and healed are those of a disturbance, both zero for none.
	disturbed, healed int
	entry             string
}

// after returns a time after the signal.
func after(millis int) time.Time {
	return time.Time{}.Add(time.Hour + time.Duration(millis)*time.Millisecond)
}

// history returns the history of a case.
func (sc stopCase) history() drawnHistory {
	dr := drawnReply{
		id: "c-0", entry: "entry-1", start: after(sc.start), sent: after(sc.sent), took: time.Duration(sc.end-sc.start) * time.Millisecond, raw: true,
		status: sc.status, broken: sc.broken, timeout: patientTimeout,
	}
	if sc.noSend {
		dr.sent = time.Time{}
	}
	if sc.timeout > 0 {
		dr.timeout = sc.timeout
	}
	if sc.entry != "" {
		dr.entry = sc.entry
	}
	dh := drawnHistory{patient: true, stops: []drawnStop{{entry: "entry-1", signal: after(0)}}, asks: []drawnAsk{{name: "c", kind: askOnce, replies: []drawnReply{dr}}}}
	if sc.arrives {
		dh.arrivals = []drawnArrival{{id: "c-0"}}
	}
	if sc.ran >= 0 && sc.arrives {
		dh.runs = []drawnRun{{id: "c-0", at: after(sc.ran), end: after(sc.until), broke: sc.broke}}
	}
	if sc.disturbed != sc.healed {
		dh.disturbances = []drawnSpan{{from: after(sc.disturbed), to: after(sc.healed)}}
	}
	return dh
}

// Cases that the check of stops must reject, and the nearest ones that it must accept.
var stopCases = map[string]struct {
	tc   stopCase
	lost bool
}{
	"cut at work, sent late":              {stopCase{start: 3001, sent: 3001, end: 7100, status: 200, broken: "EOF", arrives: true, ran: 3003, until: 7105}, true},
	"cut at work, sent in time":           {stopCase{start: 3000, sent: 3000, end: 7100, status: 200, broken: "EOF", arrives: true, ran: 3003, until: 7105}, false},
	"cut at work, body late":              {stopCase{start: 2000, sent: 3001, end: 7100, status: 200, broken: "EOF", arrives: true, ran: 3003, until: 7105}, true},
	"work ends in the last sixth":         {stopCase{start: 1000, sent: 1000, end: 7100, status: 200, broken: "EOF", arrives: true, ran: 1003, until: 6667}, false},
	"work ends before the last sixth":     {stopCase{start: 1000, sent: 1000, end: 7100, status: 200, broken: "EOF", arrives: true, ran: 1003, until: 6666}, true},
	"cut before the last sixth":           {stopCase{start: 1000, sent: 1000, end: 6666, status: 200, broken: "EOF", arrives: true, ran: 1003, until: 6700}, true},
	"waits at the server":                 {stopCase{start: 1000, sent: 1000, end: 7100, broken: "EOF", arrives: true, ran: 7101, until: 7105}, true},
	"answered whole":                      {stopCase{start: 3001, sent: 3001, end: 7100, status: 200, arrives: true, ran: 3003, until: 7105}, false},
	"answered that it failed":             {stopCase{start: 3001, sent: 3001, end: 7100, status: 502, arrives: true, ran: 3003, until: 7105}, false},
	"refused":                             {stopCase{start: 3001, sent: 3001, end: 3010, status: 503, ran: -1}, false},
	"crosses the close":                   {stopCase{start: 2500, sent: 2500, end: 2700, broken: "EOF", ran: -1}, false},
	"crosses the close, too late":         {stopCase{start: 2500, sent: 2500, end: 2701, broken: "EOF", ran: -1}, true},
	"crosses the close, passed on":        {stopCase{start: 2500, sent: 2500, end: 2510, broken: "EOF", arrives: true, ran: -1}, true},
	"not sent whole":                      {stopCase{start: 2500, noSend: true, end: 7300, broken: "EOF", ran: -1}, false},
	"the server broke off":                {stopCase{start: 3001, sent: 3001, end: 5000, status: 200, broken: "EOF", arrives: true, ran: 3003, until: 5000, broke: true}, false},
	"at its time limit":                   {stopCase{start: 3001, sent: 3001, end: 5001, status: 200, broken: "EOF", arrives: true, ran: 3003, until: 5001, timeout: 2 * time.Second}, false},
	"before its time limit":               {stopCase{start: 3001, sent: 3001, end: 4940, status: 200, broken: "EOF", arrives: true, ran: 3003, until: 5001, timeout: 2 * time.Second}, true},
	"disturbed":                           {stopCase{start: 3001, sent: 3001, end: 7100, status: 200, broken: "EOF", arrives: true, ran: 3003, until: 7105, disturbed: -2000, healed: -999}, false},
	"disturbed long before":               {stopCase{start: 3001, sent: 3001, end: 7100, status: 200, broken: "EOF", arrives: true, ran: 3003, until: 7105, disturbed: -2000, healed: -1000}, true},
	"disturbed after its end":             {stopCase{start: 3001, sent: 3001, end: 7100, status: 200, broken: "EOF", arrives: true, ran: 3003, until: 7105, disturbed: 7101, healed: 7200}, true},
	"cut within a second after the stop":  {stopCase{start: 3001, sent: 3001, end: 9000, status: 200, broken: "EOF", arrives: true, ran: 3003, until: 7105}, true},
	"cut later, for another reason":       {stopCase{start: 3001, sent: 3001, end: 9001, status: 200, broken: "EOF", arrives: true, ran: 3003, until: 7105}, false},
	"cut before the signal":               {stopCase{start: -500, sent: -500, end: -1, status: 200, broken: "EOF", arrives: true, ran: -490, until: 0}, false},
	"cut while another entry node stops":  {stopCase{start: 3001, sent: 3001, end: 7100, status: 200, broken: "EOF", arrives: true, ran: 3003, until: 7105, entry: "entry-2"}, false},
	"no answer, passed on, then declined": {stopCase{start: 4000, sent: 4000, end: 4100, broken: "EOF", arrives: true, ran: -1}, true},
}

func TestDrawnCheckOfStopsRejectsWhatIsLostAlone(t *testing.T) {
	for name, sc := range stopCases {
		dh := sc.tc.history()
		if text := checkStopLost(&dh, &dh.asks[0]); (text != "") != sc.lost {
			t.Errorf("%s: %q, want lost %t", name, text, sc.lost)
		}
	}
}

// The check at all times passes over what crosses the end of a kept connection, and over nothing else.
func TestDrawnCheckOfAnswersPassesOverWhatCrossesACloseAlone(t *testing.T) {
	for name, tc := range map[string]struct {
		tc   stopCase
		lost bool
	}{
		"crosses":            {stopCase{start: 2500, sent: 2500, end: 2700, broken: "EOF", ran: -1}, false},
		"crosses, too late":  {stopCase{start: 2500, sent: 2500, end: 2701, broken: "EOF", ran: -1}, true},
		"crosses, passed on": {stopCase{start: 2500, sent: 2500, end: 2510, broken: "EOF", arrives: true, ran: -1}, true},
		"not sent whole":     {stopCase{start: 2500, noSend: true, end: 7300, broken: "EOF", ran: -1}, false},
	} {
		dh := tc.tc.history()
		if text := checkLost(&dh, &dh.asks[0]); (text != "") != tc.lost {
			t.Errorf("%s: %q, want lost %t", name, text, tc.lost)
		}
		dh.asks[0].replies[0].raw = false
		if text := checkLost(&dh, &dh.asks[0]); text == "" {
			t.Errorf("%s: accepted although the caller's connection was not its own", name)
		}
	}
}

// stopCount counts the requests that are drawn for planned stops and end in one. Late ones were sent later than lateAsk.
type stopCount struct{ inStop, late, whole, lateWhole, refused, unknown, lateUnknown, crossed, cut, lateCut int }

// add counts a request.
func (sc *stopCount) add(dh *drawnHistory, dr *drawnReply) {
	st, ok := dh.stopOf(dr)
	if !ok {
		return
	}
	sc.inStop++
	late := 0
	if dr.sent.Sub(st.signal) > lateAsk {
		late = 1
	}
	sc.late += late
	switch {
	case dh.crosses(dr):
		sc.crossed++
	case dr.status == 0 || dr.broken != "":
		sc.cut, sc.lateCut = sc.cut+1, sc.lateCut+late
	case dr.status == http.StatusServiceUnavailable:
		sc.refused++
	case dr.status == http.StatusOK:
		sc.whole, sc.lateWhole = sc.whole+1, sc.lateWhole+late
	default:
		sc.unknown, sc.lateUnknown = sc.unknown+1, sc.lateUnknown+late
	}
}
