package proofs

import (
	"testing"
	"time"
)

// stopFind is what is left of the find of a hunt (seed 77): the body of a request for a stream comes slowly while its entry
// node stops, and is whole 5.3 s after the signal. Beside it are the nearest requests that a server may still be at work on
// in the end, and one that ends in time.
func stopFind() drawnPlan {
	const signal = 2072 * time.Millisecond
	late := slowBody{Parts: 4, Over: 3214 * time.Millisecond, Chunked: true}
	lasting := longAnswerDrawn{Works: 12 * time.Millisecond, Period: 258 * time.Millisecond, Lasts: 5400 * time.Millisecond}
	visit := func(kind drawnKind, after time.Duration, body visitBody, answer visitAnswer) drawnVisit {
		return drawnVisit{Entry: "entry-1", Steps: []visitStep{{Kind: kind, When: atMoment{At: signal + after}, Body: body, Answer: answer, Timeout: 12 * time.Second}}}
	}
	return drawnPlan{
		Seed: 77, Entries: 1, Plain: 1, Engines: []string{"v1", "v1"}, Patient: true,
		Faults: []timedFault{{At: signal, Fault: plannedStop{Entry: "entry-1", Downtime: time.Second}}},
		Visits: []drawnVisit{
			visit(askOnce, 2059*time.Millisecond, late, lasting),
			visit(askOnce, 2059*time.Millisecond, wholeBody{}, lasting),
			visit(askUnsafe, 2059*time.Millisecond, late, quickAnswer{}),
		},
	}
}

// A request whose body was whole late in a stop was passed on, and cut at the end of the stop.
func TestDrawnStopLosesNoRequestWhoseBodyComesLate(t *testing.T) {
	dh := playPlan(t, stopFind())
	for _, df := range dh.check() {
		t.Errorf("%s: %s\n%s", df.rule, df.text, dh.describe(df.ask))
	}
}
