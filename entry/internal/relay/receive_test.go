package relay

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/wire"
	"github.com/bambooladder/bambooladder/entry/internal/links"
)

// answerRecorder records the answer that was delivered.
type answerRecorder struct {
	heads int
	text  strings.Builder
	// notResumable makes the answer one that is no stream.
	notResumable bool
}

func (rc *answerRecorder) Head(int, string) error { rc.heads++; return nil }
func (rc *answerRecorder) Part(data []byte) error { rc.text.Write(data); return nil }
func (rc *answerRecorder) Begun() bool            { return rc.text.Len() > 0 }
func (rc *answerRecorder) Resumable() bool        { return rc.Begun() && !rc.notResumable }
func (rc *answerRecorder) TokensSent() int        { return 0 }
func (rc *answerRecorder) Reset()                 { rc.text.Reset() }
func (rc *answerRecorder) Finish() error          { return nil }

// lossyAgent sends the frames of an answer late, repeatedly and out of order. At first it may
// leave frames out, as if they had been lost with a connection. When it is asked to resend, it
// sends each frame at least once.
type lossyAgent struct {
	rd           *rand.Rand
	frames       []*wire.Frame
	events       chan links.Event
	acknowledged uint64
}

// send sends the frames that follow a sequence number in random order, each minCopies or
// minCopies+1 times.
func (la *lossyAgent) send(after uint64, minCopies int) {
	list := make([]*wire.Frame, 0, 2*len(la.frames))
	for _, fr := range la.frames {
		if fr.Chunk != nil && fr.Chunk.Sequence <= after {
			continue
		}
		for range minCopies + la.rd.IntN(2) {
			list = append(list, fr)
		}
	}
	la.rd.Shuffle(len(list), func(aa, bb int) { list[aa], list[bb] = list[bb], list[aa] })
	go func() {
		for _, fr := range list {
			time.Sleep(time.Duration(la.rd.IntN(20)) * time.Millisecond)
			la.events <- links.Event{Frame: fr}
		}
	}()
}

func (la *lossyAgent) Acknowledge(_ context.Context, received uint64, replay bool) {
	la.acknowledged = max(la.acknowledged, received)
	if replay {
		la.send(received, 1)
	}
}
func (la *lossyAgent) Void(context.Context, int64) bool { return true }
func (la *lossyAgent) TakeDropped() bool                { return false }

func TestReceiverDeliversWholeAnswerWhenFramesAreLostRepeatedAndReordered(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("the whole answer is delivered in order, with one head, and acknowledged", prop.ForAll(func(seed uint64, count int) string {
		problem := ""
		synctest.Test(t, func(*testing.T) {
			la := &lossyAgent{rd: rand.New(rand.NewPCG(seed, 1)), events: make(chan links.Event, 10_000)}
			want := strings.Builder{}
			la.frames = append(la.frames, &wire.Frame{Head: &wire.Head{Status: 200}})
			for ix := range count {
				part := fmt.Sprint("part ", ix, ";")
				want.WriteString(part)
				la.frames = append(la.frames, &wire.Frame{Chunk: &wire.Chunk{Sequence: uint64(ix + 1), Data: []byte(part)}})
			}
			la.frames = append(la.frames, &wire.Frame{End: &wire.End{Count: uint64(count), Whole: true}})
			rc := &answerRecorder{}
			re := &receiver{at: la, events: la.events, boot: "boot", sentAt: time.Now(), an: rc, reconnectTimeout: time.Second}
			la.send(0, 0)
			la.events <- links.Event{Connection: &links.ConnectionChange{}}
			la.events <- links.Event{Connection: &links.ConnectionChange{Up: true, Boot: "boot"}}
			rs := re.run(context.Background(), time.Now().Add(time.Minute))
			switch {
			case rs.ending != answered:
				problem = "ending is not answered but " + rs.ending.String() + ": " + rs.reason
			case rc.text.String() != want.String() || rc.heads != 1:
				problem = fmt.Sprintf("delivered %d heads, want 1, and text %q", rc.heads, rc.text.String())
			case la.acknowledged != uint64(count)+1:
				problem = fmt.Sprintf("acknowledged up to sequence %d of %d chunks", la.acknowledged, count)
			}
			time.Sleep(time.Minute)
		})
		return problem
	}, gen.UInt64(), gen.IntRange(0, 20)))
	properties.TestingRun(t)
}

// decoded returns a frame as it arrives.
func decoded(fr *wire.Frame) *wire.Frame {
	buf := bytes.Buffer{}
	if err := wire.Append(&buf, fr); err != nil {
		panic(err)
	}
	received, _, err := wire.DecodeFirst(buf.Bytes())
	if err != nil {
		panic(err)
	}
	return received
}

func TestReceiverEndsAsFramesAndLinkChangesImply(t *testing.T) {
	cases := []struct {
		name   string
		events []links.Event
		ending ending
	}{
		{"attempt refused", []links.Event{{Frame: &wire.Frame{Refusal: &wire.Refusal{Reason: "leaving"}}}}, notRun},
		{"agent restarted", []links.Event{{Connection: &links.ConnectionChange{}}, {Connection: &links.ConnectionChange{Up: true, Boot: "later"}}}, interrupted},
		{"connection not restored", []links.Event{{Connection: &links.ConnectionChange{}}}, interrupted},
		{"attempt voided", []links.Event{{Frame: &wire.Frame{Verdict: &wire.Verdict{Outcome: wire.VerdictOutcomeVoided}}}}, notRun},
		{"answer lost", []links.Event{{Frame: &wire.Frame{Verdict: &wire.Verdict{Outcome: wire.VerdictOutcomeAnswered}}}}, interrupted},
		{"empty answer", []links.Event{
			{Frame: &wire.Frame{Head: &wire.Head{Status: 500}}}, {Frame: decoded(&wire.Frame{Chunk: &wire.Chunk{Sequence: 1}})},
			{Frame: &wire.Frame{End: &wire.End{Count: 1, Whole: true}}},
		}, answered},
		{"empty answer, its chunk before its head", []links.Event{
			{Frame: decoded(&wire.Frame{Chunk: &wire.Chunk{Sequence: 1}})}, {Frame: &wire.Frame{Head: &wire.Head{Status: 500}}},
			{Frame: &wire.Frame{End: &wire.End{Count: 1, Whole: true}}},
		}, answered},
		{"answer incomplete", []links.Event{{Frame: &wire.Frame{End: &wire.End{Reason: "backend_lost"}}}}, interrupted},
		{"no event before the deadline", nil, timedOut},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				la := &lossyAgent{rd: rand.New(rand.NewPCG(1, 1)), events: make(chan links.Event, 10)}
				for _, ev := range tc.events {
					la.events <- ev
				}
				re := &receiver{at: la, events: la.events, boot: "boot", sentAt: time.Now(), an: &answerRecorder{}, reconnectTimeout: time.Second}
				if rs := re.run(t.Context(), time.Now().Add(5*time.Second)); rs.ending != tc.ending {
					t.Fatalf("ending %s, want %s", rs.ending, tc.ending)
				}
			})
		})
	}
}

// The end of a call's own time is a timeout, not a caller that went away.
func TestReceiverEndsWithATimeoutWhenItsContextEndsAtTheDeadline(t *testing.T) {
	for want, cause := range map[ending]error{timedOut: context.DeadlineExceeded, canceled: context.Canceled} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if errors.Is(cause, context.Canceled) {
				cancel()
			}
			re := &receiver{at: &lossyAgent{}, events: make(chan links.Event), an: &answerRecorder{}}
			if rs := re.run(ctx, time.Now().Add(2*time.Second)); rs.ending != want {
				t.Errorf("ending %s after %v, want %s", rs.ending, cause, want)
			}
		})
	}
}

// A request whose time has passed before anything was sent to a backend server has not run.
func TestTimeoutBeforeAnyAttemptIsNotRun(t *testing.T) {
	ex := &execution{rq: &Request{}, an: &answerRecorder{}}
	fe := &fault.Error{}
	if !errors.As(ex.timeoutError(), &fe) || fe.Outcome != fault.NotRun {
		t.Errorf("the outcome before any attempt is %q, want %q", fe.Outcome, fault.NotRun)
	}
	_, err := ex.awaitRetry(t.Context(), "runner-1", result{ending: timedOut})
	if !errors.As(err, &fe) || fe.Kind != fault.Timeout || fe.Outcome != fault.Unknown {
		t.Errorf("after an attempt that timed out: %+v, want a timeout with the outcome %q", fe, fault.Unknown)
	}
}

// A long answer that is no stream has broken off although its caller asked for one. The request must not run again: the
// caller would get the next answer after half of this one.
func TestBrokenAnswerThatIsNoStreamIsNotGoneOnWith(t *testing.T) {
	for resumable, want := range map[bool]bool{true: false, false: true} {
		rc := &answerRecorder{notResumable: !resumable}
		_ = rc.Part([]byte("half"))
		ex := &execution{rl: NewRelay(links.NewLinks(links.Options{Random: func() float64 { return 0 }}), nil, nil, zerolog.Nop()),
			rq: &Request{Stream: true, Deadline: time.Now().Add(time.Minute)}, an: rc, attemptCount: 1}
		if final, err := ex.awaitRetry(t.Context(), "runner-1", result{ending: interrupted}); final != want {
			t.Errorf("resumable %t: final %t, error %v, want %t", resumable, final, err, want)
		}
	}
}
