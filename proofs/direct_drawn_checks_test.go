package proofs

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// historyCase is a small history of one ask, and the rule that it breaks, if any.
type historyCase struct {
	history drawnHistory
	rule    string
}

// streamReply returns an answer with events of a stream, as "NUMBER" or "NUMBER:SOFTWARE", the software being v1 otherwise.
func streamReply(broken string, events ...string) drawnReply {
	body := strings.Builder{}
	for _, ev := range events {
		number, software, _ := strings.Cut(ev, ":")
		if software == "" {
			software = "v1"
		}
		_, _ = fmt.Fprintf(&body, "id: %s\ndata: s %s engine-0#1\n\n", number, software)
	}
	return drawnReply{id: "s-0", entry: "entry-1", status: 200, contentType: streamType, broken: broken, timeout: time.Second}.withBody(body.String())
}

// streamHistory returns the history of a stream of three events.
func streamHistory(replies ...drawnReply) drawnHistory {
	return drawnHistory{asks: []drawnAsk{{name: "s", kind: askStream, length: 3, replies: replies}}}
}

// callHistory returns the history of a call that got an answer after running some times.
func callHistory(kind drawnKind, status int, body, broken string, runs ...string) drawnHistory {
	dh := drawnHistory{asks: []drawnAsk{{name: "c", kind: kind, replies: []drawnReply{{
		id: "c-0", entry: "entry-1", status: status, broken: broken, timeout: time.Second, body: body,
	}}}}}
	for _, run := range runs {
		dh.runs = append(dh.runs, drawnRun{id: "c-0", server: "plain-0", body: run})
	}
	return dh
}

// with returns the history with a span of an entry node, and the reply taking a time.
func (dh drawnHistory) with(took time.Duration, spans ...drawnSpan) drawnHistory {
	dh.asks[0].replies[0].took = took
	dh.spans = spans
	return dh
}

// rest returns a reply with a body that has a rest after its events.
func (dr drawnReply) rest(text string) drawnReply { return dr.withBody(dr.body + text) }

// typed returns a reply with another status and type.
func (dr drawnReply) typed(status int, contentType string) drawnReply {
	dr.status, dr.contentType, dr.events, dr.unreadable = status, contentType, nil, ""
	return dr.withBody(dr.body)
}

// Each rule with histories that break it and the nearest ones that do not.
var historyCases = map[string]historyCase{
	"whole":                              {streamHistory(streamReply("", "1", "2", "3")), ""},
	"an event is missing":                {streamHistory(streamReply("", "1", "3")), "ORDER"},
	"an event is missing, broken":        {streamHistory(streamReply("EOF", "1", "3")), "ORDER"},
	"an event comes twice":               {streamHistory(streamReply("", "1", "2", "2", "3")), "ORDER"},
	"ends too early":                     {streamHistory(streamReply("", "1", "2")), "ORDER"},
	"broken":                             {streamHistory(streamReply("EOF", "1", "2")), ""},
	"begins late":                        {streamHistory(streamReply("EOF", "2", "3")), "ORDER"},
	"too long":                           {streamHistory(streamReply("", "1", "2", "3", "4")), "ORDER"},
	"broken, no event":                   {streamHistory(streamReply("EOF")), ""},
	"whole, no event":                    {streamHistory(streamReply("")), "ORDER"},
	"taken up":                           {streamHistory(streamReply("EOF", "1"), streamReply("", "2", "3")), ""},
	"taken up, from the start":           {streamHistory(streamReply("EOF", "1"), streamReply("", "1", "2", "3")), "ORDER"},
	"taken up, too late":                 {streamHistory(streamReply("EOF", "1"), streamReply("", "3")), "ORDER"},
	"taken up, ends too early":           {streamHistory(streamReply("EOF", "1"), streamReply("", "2")), "ORDER"},
	"taken up at the end":                {streamHistory(streamReply("EOF", "1", "2", "3"), streamReply("")), ""},
	"taken up, refused":                  {streamHistory(streamReply("EOF", "1"), streamReply("").typed(503, "")), ""},
	"half of an event, broken":           {streamHistory(streamReply("EOF", "1").rest("id: 2\nda")), ""},
	"half of an event":                   {streamHistory(streamReply("", "1", "2", "3").rest("id: 2\nda")), "ORDER"},
	"other text, broken":                 {streamHistory(streamReply("EOF", "1").rest("{}")), "ORDER"},
	"other text":                         {streamHistory(streamReply("", "1", "2", "3").rest("{}\n\n")), "ORDER"},
	"events in an error":                 {streamHistory(streamReply("", "1", "2", "3").typed(500, streamType)), "ORDER"},
	"events in a text":                   {streamHistory(streamReply("", "1", "2", "3").typed(200, "text/plain")), "ORDER"},
	"another stream's event":             {streamHistory(streamReply("", "1", "2").rest(eventOf(3, "t", "v1", "engine-0#1"))), "MIXED"},
	"another stream":                     {streamHistory(streamReply("EOF").rest(eventOf(1, "t", "v1", "engine-0#1"))), "MIXED"},
	"two versions":                       {streamHistory(streamReply("", "1", "2", "3:v2")), "MIXED"},
	"two versions in two answers":        {streamHistory(streamReply("EOF", "1"), streamReply("", "2:v2", "3:v2")), "MIXED"},
	"another version":                    {streamHistory(streamReply("", "1:v2", "2:v2", "3:v2")), ""},
	"a call that ran":                    {callHistory(askUnsafe, 200, "b", "", "b"), ""},
	"a call that ran twice":              {callHistory(askUnsafe, 200, "b", "", "b", "b"), "TWICE"},
	"a safe call that ran twice":         {callHistory(askSafe, 200, "b", "", "b", "b"), ""},
	"a safe call that ran three times":   {callHistory(askSafe, 200, "b", "", "b", "b", "b"), "TWICE"},
	"a call that was refused":            {callHistory(askUnsafe, 503, "", ""), ""},
	"a call that was refused and ran":    {callHistory(askUnsafe, 503, "", "", "b"), "REFUSED"},
	"a call refused with 429 that ran":   {callHistory(askUnsafe, 429, "", "", "b"), "REFUSED"},
	"a call refused with 421 that ran":   {callHistory(askUnsafe, 421, "", "", "b"), "REFUSED"},
	"a call that failed and ran":         {callHistory(askUnsafe, 502, "", "", "b"), ""},
	"a success that no server answered":  {callHistory(askSafe, 200, "b", "", "c"), "WHOLE"},
	"a success that was cut":             {callHistory(askSafe, 200, "b", "", "body"), "WHOLE"},
	"a success without a run":            {callHistory(askSafe, 200, "", ""), "WHOLE"},
	"a call without an answer":           {callHistory(askSafe, 0, "", "EOF"), "LOST"},
	"an answer that broke off":           {callHistory(askSafe, 200, "b", "EOF", "body"), "LOST"},
	"an answer just in time":             {callHistory(askSafe, 502, "", "").with(1500 * time.Millisecond), ""},
	"an answer too late":                 {callHistory(askSafe, 502, "", "").with(1501 * time.Millisecond), "LATE"},
	"an answer of a node that stood":     {callHistory(askSafe, 502, "", "").with(1700*time.Millisecond, span("entry-1", 100, 300, true)), ""},
	"an answer of another node":          {callHistory(askSafe, 502, "", "").with(1700*time.Millisecond, span("entry-2", 100, 300, true)), "LATE"},
	"an answer later than the stand":     {callHistory(askSafe, 502, "", "").with(1701*time.Millisecond, span("entry-1", 100, 300, true)), "LATE"},
	"no answer of a killed node":         {callHistory(askSafe, 0, "", "EOF").with(200*time.Millisecond, span("entry-1", 200, 300, false)), ""},
	"no answer before a node was killed": {callHistory(askSafe, 0, "", "EOF").with(199*time.Millisecond, span("entry-1", 200, 300, false)), "LOST"},
	"no answer, another node killed":     {callHistory(askSafe, 0, "", "EOF").with(200*time.Millisecond, span("entry-2", 200, 300, false)), "LOST"},
	"no answer of a node that stood":     {callHistory(askSafe, 0, "", "EOF").with(200*time.Millisecond, span("entry-1", 100, 300, true)), "LOST"},
}

// span returns a span of an entry node, in milliseconds from the zero time.
func span(entry string, from, to int, frozen bool) drawnSpan {
	at := func(millis int) time.Time { return time.Time{}.Add(time.Duration(millis) * time.Millisecond) }
	return drawnSpan{entry: entry, from: at(from), to: at(to), frozen: frozen}
}

func TestDrawnChecksRejectWhatBreaksARuleAlone(t *testing.T) {
	for name, tc := range historyCases {
		rules := []string(nil)
		for _, df := range tc.history.check() {
			rules = append(rules, df.rule)
		}
		if got := strings.Join(rules, " "); got != tc.rule {
			t.Errorf("%s: breaks %q, want %q", name, got, tc.rule)
		}
	}
}
