package spread

import (
	"testing"
	"time"
)

// An engine with requests in flight must be asked for a sign of life in time before it counts as silent, not by each of its
// requests, and not while it sends something.
func TestAQuietEngineIsAskedOnceBeforeItCountsAsSilent(t *testing.T) {
	fl, now := Fleet{}, time.Now()
	fl.Put(Server{ID: "engine", Service: "s", Engine: true})
	fl.Put(Server{ID: "plain", Service: "p"})
	if fl.TakeQuiet("engine", now) || fl.TakeQuiet("unknown", now) {
		t.Error("a server without requests in flight is asked")
	}
	fl.Sent("engine", 0, now)
	fl.Sent("plain", 0, now)
	asked := 0
	for elapsed := time.Duration(0); elapsed <= silenceMax; elapsed += 10 * time.Millisecond {
		for range 3 {
			if fl.TakeQuiet("engine", now.Add(elapsed)) {
				asked++
			}
		}
		if fl.TakeQuiet("plain", now.Add(elapsed)) {
			t.Error("a plain server is asked, which never counts as silent")
		}
	}
	if want := int(silenceMax / quietMax); asked != want {
		t.Errorf("asked %d times in %v, want %d", asked, silenceMax, want)
	}
	now = now.Add(silenceMax + time.Millisecond)
	if !fl.Silent("engine", now) {
		t.Error("an engine that has sent nothing does not count as silent")
	}
	fl.SeenAlive("engine", now)
	if fl.Silent("engine", now) || fl.TakeQuiet("engine", now.Add(quietMax-time.Millisecond)) {
		t.Error("an engine that has just answered is asked or counts as silent")
	}
}
