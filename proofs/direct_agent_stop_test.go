package proofs

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// Streams come all the time while the agent beside one of two engines stops and starts again: each of them is served, once,
// and none waits for what the agent that has gone does not answer any more.
func TestDirectAgentStopCutsNoStreamOff(t *testing.T) {
	const count, period, waitMax = 200, 20 * time.Millisecond, 3 * time.Second
	for _, moment := range []time.Duration{0, 500 * time.Microsecond, time.Millisecond, 1500 * time.Microsecond, 2 * time.Millisecond, 10 * time.Millisecond} {
		t.Run(moment.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ds := newDirectSimulation(t, 0, 2)
				defer ds.close()
				ds.startEntry("entry-2")
				ds.patientRoutes()
				ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
					writeSealHeaders(wr, rq)
					for number := range 5 {
						time.Sleep(10 * time.Millisecond)
						_, _ = fmt.Fprintf(wr, "id: %d\ndata: event %d\n\n", number+1, number+1)
						_ = http.NewResponseController(wr).Flush()
					}
				})
				replies := make([]directReply, count)
				done := make(chan int, count)
				for number := range count {
					go func() {
						time.Sleep(time.Duration(number) * period)
						replies[number] = ds.sendPatiently(t.Context(), fmt.Sprintf("entry-%d", number%2+1), fmt.Sprintf("stream-%d", number), "/stream/x", fmt.Sprintf("a%d", number%5), nil)
						done <- number
					}()
				}
				time.Sleep(time.Second + moment)
				ds.restartAgent(engineName(0))
				time.Sleep(time.Second)
				ds.restartAgent(engineName(1))
				for range count {
					<-done
				}
				runs := ds.runs()
				for number, re := range replies {
					id := fmt.Sprintf("stream-%d", number)
					if re.err != nil || re.status != http.StatusOK || re.took > waitMax || runs[id] != 1 {
						t.Errorf("%s got status %d, %v, after %v, and reached servers %d times, want 200 within %v, once", id, re.status, re.err, re.took, runs[id], waitMax)
					}
				}
			})
		})
	}
}
