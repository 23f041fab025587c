package proofs

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// A caller takes a stream up after its fourth event, the stream breaks again after one more, and the next server leaves an event
// out. The steps of the events that the caller has before the break show that one is missing.
func TestDirectGapAfterATakenUpStreamBreaksIsNotPassedOn(t *testing.T) {
	for name, answers := range map[string][]func(wr http.ResponseWriter, rq *http.Request){
		"as it should":     {brokenAfter(5), streamOf(6, 7, 8, 9, 10)},
		"after two events": {brokenAfter(5, 6), streamOf(8, 9, 10)},
		"after one event":  {brokenAfter(5), streamOf(7, 8, 9, 10)},
	} {
		t.Run(name, func(t *testing.T) {
			runDirectSimulation(t, 0, 3, func(t *testing.T, ds *directSimulation, cl *directCaller) {
				mu, count := sync.Mutex{}, 0
				ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
					mu.Lock()
					number := count
					count++
					mu.Unlock()
					if number < len(answers) {
						answers[number](wr, rq)
						return
					}
					defaultAnswer(wr, rq)
				})
				re := cl.sendTakeUp(t)
				re.body = eventText(1, 2, 3, 4) + re.body
				checkFollowing(t, re)
				time.Sleep(time.Second)
			})
		})
	}
}
