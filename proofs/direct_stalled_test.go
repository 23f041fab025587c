package proofs

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/entry/direct"
)

// limitPauses makes the routes state the longest pause that callers accept.
func (ds *directSimulation) limitPauses(pauseMax time.Duration) {
	ta := routeTable(2)
	for ix := range ta.Routes {
		ta.Routes[ix].Timeout, ta.Routes[ix].PauseMax = patientTimeout, pauseMax
	}
	ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: (&paths.Table{
		Version: ta.Version, Limits: ta.Limits, Routes: ta.Routes, Services: ta.Services,
	}).Build()})
	time.Sleep(time.Second)
}

// A stream that stops in the middle, while its server sends comments or a byte now and then, must go on at another server before
// its caller leaves. Nothing ended it before the time of the request did.
func TestDirectStalledStreamGoesOnElsewhere(t *testing.T) {
	for name, idle := range map[string]string{"nothing": "", "comments": ": still here\n\n", "a byte now and then": "d"} {
		t.Run(name, func(t *testing.T) {
			runDirectSimulation(t, 0, 2, func(t *testing.T, ds *directSimulation, _ *directCaller) {
				ds.limitPauses(400 * time.Millisecond)
				answers := atomic.Int64{}
				ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
					writeSealHeaders(wr, rq)
					if answers.Add(1) > 1 {
						writeEvents(wr, rq, streamEventCount)
						return
					}
					writeEvents(wr, rq, 3)
					for rq.Context().Err() == nil {
						time.Sleep(500 * time.Millisecond)
						_, _ = io.WriteString(wr, idle)
						_ = http.NewResponseController(wr).Flush()
					}
				})
				re := ds.sendPatiently(t.Context(), "entry-1", "stalled", "/stream/x", "a1", strings.NewReader("prompt"))
				got := strings.ReplaceAll(re.body, ": still here\n\n", "")
				if re.err != nil || got != completeStream() || re.took > 5*time.Second {
					t.Errorf("%q, error %v after %v, want the whole stream within 5 s", got, re.err, re.took)
				}
			})
		})
	}
}

// A slow stream whose events come with steady gaps must not be taken for a stalled one.
func TestDirectSlowStreamIsNotTakenForAStalledOne(t *testing.T) {
	for _, gap := range []time.Duration{time.Second, 2 * time.Second} {
		t.Run(fmt.Sprint(gap), func(t *testing.T) {
			runDirectSimulation(t, 0, 2, func(t *testing.T, ds *directSimulation, _ *directCaller) {
				ds.limitPauses(400 * time.Millisecond)
				ds.setAllScripts(writeSlowly(gap))
				re := ds.sendPatiently(t.Context(), "entry-1", "slow", "/stream/x", "a1", strings.NewReader("prompt"))
				if events := strings.Count(re.body, "data:"); re.err != nil || events != slowEvents || len(ds.allRequests()) != 1 {
					t.Errorf("%d events, error %v, from %d runs, want %d from one", events, re.err, len(ds.allRequests()), slowEvents)
				}
			})
		})
	}
}
