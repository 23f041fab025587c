package logs

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

func TestEventIsOneLineOfKeyValuePairsThatStartsWithTheTime(t *testing.T) {
	buf := &bytes.Buffer{}
	lg := New(buf, zerolog.InfoLevel, "entry", "front-1")
	lg.Info().Str("request", "9c41").Str("reason", "no room left").Int("waiting", 3).Dur("age", 20*time.Millisecond).
		Str("quote", `a"b`).Bool("late", true).Str("empty", "").Floats64("costs", []float64{1, 2}).Msg("request_refused")
	line := buf.String()
	for _, want := range []string{
		"level=info event=request_refused age=20 ", " host=front-1 late=true program=entry ", " request=9c41 ", ` reason="no room left" `,
		" waiting=3\n", ` quote="a\"b" `, " late=true ", ` empty="" `, " costs=[1,2]",
	} {
		if !strings.Contains(line, want) {
			t.Errorf("%q is missing in %q", want, line)
		}
	}
	if !strings.HasPrefix(line, "time=") || strings.Count(line, "\n") != 1 {
		t.Errorf("not exactly one line that starts with the time: %q", line)
	}
}

// blockedWriter blocks every write until opened is closed.
type blockedWriter struct {
	opened chan struct{}
	buf    bytes.Buffer
}

func (bw *blockedWriter) Write(data []byte) (int, error) {
	<-bw.opened
	return bw.buf.Write(data)
}

// While the output is blocked, logging must go on, and a flood of one event must not displace the
// others. The dropped lines must be reported once the output accepts data again.
func TestSinkWithBlockedOutputDropsAndReportsExcessLinesOfAnEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{opened: make(chan struct{})}
		si := NewSink(out)
		lg := NewWithSink(si, zerolog.InfoLevel, "entry", "front-1")
		for range 10 * maxLinesPerSecond {
			lg.Info().Msg("request_refused")
		}
		lg.Info().Msg("stopping")
		time.Sleep(2 * flushPeriod)
		close(out.opened)
		si.Close()
		text := out.buf.String()
		if got := strings.Count(text, " event=request_refused "); got != maxLinesPerSecond {
			t.Errorf("%d lines of one event within a second, want 200 (maxLinesPerSecond)", got)
		}
		if !strings.Contains(text, "event=log_lines_dropped dropped_event=request_refused count=1800") {
			t.Errorf("the dropped lines are not reported: %s", text[len(text)-200:])
		}
		if !strings.Contains(text, "event=stopping") {
			t.Error("a rare event was dropped because of a flood of another event")
		}
	})
}

// Any input must yield a line that ends with a newline.
func FuzzAppendLineEndsWithANewline(f *testing.F) {
	f.Add([]byte(`{"level":"info","a":"b","message":"m"}`))
	f.Add([]byte(`{"a":[1,{"b":"]"}],"c":"\""}`))
	f.Fuzz(func(t *testing.T, object []byte) {
		line := appendLine(nil, object)
		if len(line) == 0 || line[len(line)-1] != '\n' {
			t.Errorf("no terminated line for %q", object)
		}
	})
}
