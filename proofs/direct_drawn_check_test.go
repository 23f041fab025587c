package proofs

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// lateSlack is how much later than its deadline a caller may be answered.
	lateSlack = 500 * time.Millisecond
	// eventMark begins each event.
	eventMark = "id: "
)

// drawnFind is a rule that a history breaks.
type drawnFind struct {
	rule, text string
	ask        *drawnAsk
}

// drawnChecks are the rules by name. Each returns what is wrong, or "".
var drawnChecks = []struct {
	rule  string
	check func(dh *drawnHistory, da *drawnAsk) string
}{
	{"ORDER", checkOrder}, {"MIXED", checkMixed}, {"TWICE", checkRuns}, {"REFUSED", checkRefused}, {"LATE", checkWait},
	{"WHOLE", checkWholeCall}, {"LOST", checkLost}, {"LOST-STOP", checkStopLost},
}

// check returns the rules that a history breaks.
func (dh *drawnHistory) check() []drawnFind {
	finds := []drawnFind(nil)
	for ix := range dh.asks {
		for _, rule := range drawnChecks {
			if text := rule.check(dh, &dh.asks[ix]); text != "" {
				finds = append(finds, drawnFind{rule: rule.rule, text: text, ask: &dh.asks[ix]})
			}
		}
	}
	return finds
}

// checkOrder checks that the events of a stream come in order, each once, and that none is missing if it looks whole.
func checkOrder(dh *drawnHistory, da *drawnAsk) string {
	if !da.kind.streams() {
		return ""
	}
	last := 0
	for ix := range da.replies {
		dr := &da.replies[ix]
		for _, ev := range dr.events {
			if ev.number != last+1 {
				return fmt.Sprintf("%s: event %d after event %d", dr.id, ev.number, last)
			}
			last = ev.number
		}
		if text := checkEnd(dh, da, dr, last); text != "" {
			return dr.id + ": " + text
		}
	}
	return ""
}

// checkEnd checks how one answer to a request for a stream ends, whose caller has the events up to a number.
func checkEnd(dh *drawnHistory, da *drawnAsk, dr *drawnReply, last int) string {
	isStream := strings.HasPrefix(dr.contentType, streamType)
	switch {
	case dr.status != http.StatusOK && len(dr.events) > 0:
		return fmt.Sprintf("status %d with events", dr.status)
	case !isStream && strings.Contains(dr.body, eventMark):
		return fmt.Sprintf("an answer of type %q with events", dr.contentType)
	case !dr.looksWhole():
		return checkFragment(dr.unreadable)
	case !isStream && last == 0 && dh.isOwnBody(dr):
		// A server's own answer that is no stream.
		return ""
	case dr.unreadable != "":
		return fmt.Sprintf("looks whole, but ends with %.80q", dr.unreadable)
	case last != da.length:
		return fmt.Sprintf("looks whole after event %d of %d", last, da.length)
	}
	return ""
}

// checkFragment checks what follows the last whole event of an answer that broke off: the start of the next one.
func checkFragment(text string) string {
	if strings.HasPrefix(eventMark, text) || strings.HasPrefix(text, eventMark) && !strings.Contains(text, "\n\n") {
		return ""
	}
	return fmt.Sprintf("%.80q is no part of an event", text)
}

// isOwnBody reports whether a reply holds the whole body that a server answered its request with.
func (dh *drawnHistory) isOwnBody(dr *drawnReply) bool {
	for _, run := range dh.runsOf(dr.id) {
		if run.body == dr.body {
			return true
		}
	}
	return false
}

// checkMixed checks that all events are of the stream that was asked for, and of one software version.
func checkMixed(_ *drawnHistory, da *drawnAsk) string {
	first := ""
	for ix := range da.replies {
		for _, ev := range da.replies[ix].events {
			if ev.stream != da.name {
				return fmt.Sprintf("%s: event %d of %s", da.replies[ix].id, ev.number, ev.stream)
			}
			if first == "" {
				first = ev.software
			}
			if ev.software != first {
				return fmt.Sprintf("%s: event %d of software %s after those of %s", da.replies[ix].id, ev.number, ev.software, first)
			}
		}
	}
	return ""
}

// checkRuns checks that no request ran more often than its route allows.
func checkRuns(dh *drawnHistory, da *drawnAsk) string {
	for ix := range da.replies {
		if count := len(dh.runsOf(da.replies[ix].id)); count > da.kind.runsMax() {
			return fmt.Sprintf("%s ran %d times", da.replies[ix].id, count)
		}
	}
	return ""
}

// checkRefused checks that requests did not run whose callers were told so.
func checkRefused(dh *drawnHistory, da *drawnAsk) string {
	for ix := range da.replies {
		dr := &da.replies[ix]
		switch dr.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest:
			if count := len(dh.runsOf(dr.id)); count > 0 {
				return fmt.Sprintf("%s got status %d, but ran %d times", dr.id, dr.status, count)
			}
		}
	}
	return ""
}

// checkWait checks that no caller waits beyond its deadline, the time aside in which its entry node stood still.
func checkWait(dh *drawnHistory, da *drawnAsk) string {
	for ix := range da.replies {
		dr := &da.replies[ix]
		limit := dr.timeout + lateSlack
		for _, span := range dh.spans {
			if span.frozen && span.entry == dr.entry {
				limit += span.overlap(dr)
			}
		}
		if dr.took > limit {
			return fmt.Sprintf("%s waited %v of %v", dr.id, dr.took, dr.timeout)
		}
	}
	return ""
}

// checkWholeCall checks that a call that succeeded brought the whole body that a server answered it with.
func checkWholeCall(dh *drawnHistory, da *drawnAsk) string {
	for ix := range da.replies {
		dr := &da.replies[ix]
		if !da.kind.streams() && dr.looksWhole() && !dh.isOwnBody(dr) {
			return fmt.Sprintf("%s got %.80q, which no server answered it with", dr.id, dr.body)
		}
	}
	return ""
}

// checkLost checks that every request got an answer whose entry node was there all the time.
func checkLost(dh *drawnHistory, da *drawnAsk) string {
	for ix := range da.replies {
		dr := &da.replies[ix]
		lost := dr.status == 0 || !da.kind.streams() && dr.broken != ""
		if lost && !dh.wasGone(dr) && !dh.crosses(dr) {
			return fmt.Sprintf("%s got no answer: %s", dr.id, dr.broken)
		}
	}
	return ""
}

// wasGone reports whether the entry node of a reply was gone at some time of it.
func (dh *drawnHistory) wasGone(dr *drawnReply) bool {
	for ix := range dh.spans {
		if !dh.spans[ix].frozen && dh.spans[ix].touches(dr) {
			return true
		}
	}
	return false
}
