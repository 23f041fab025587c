package grant

import (
	"testing"
	"time"
)

// reserveLimited requests a grant that is refused beyond a backlog of the engine.
func (dr *driver) reserveLimited(attempt, adapter string, backlogMax time.Duration) []Action {
	actions := dr.en.Reserve(Request{
		Attempt: attempt, Entry: "entry", Key: Key{Model: testModel, Adapter: adapter}, PromptTokens: 1000, OutputTokens: 20,
		BacklogMax: backlogMax, Deadline: dr.now.Add(5 * time.Second),
	}, dr.now)
	dr.record(actions)
	return actions
}

// Entry nodes choose an engine on reports that are up to a second old. The agent must send a request
// elsewhere at once if the engine has become busier than its entry node can know.
func TestRequestIsRefusedAtOnceBeyondItsBacklogLimit(t *testing.T) {
	dr := newDriver(t, 2, "a1")
	for _, attempt := range []string{"r1", "r2", "r3", "r4"} {
		dr.reserve(attempt, "a1", 0, false)
	}
	backlog := 4 * PrefillTime(1000)
	actions := dr.reserveLimited("late", "a1", backlog-time.Millisecond)
	if len(actions) != 1 || actions[0].Refuse == nil || actions[0].Refuse.Reason != ReasonEngineBusy {
		t.Errorf("actions %+v, want one refusal of a busy engine", actions)
	}
	dr.reserveLimited("on_time", "a1", backlog)
	if len(dr.granted) != 5 || dr.granted[4] != "on_time" {
		t.Errorf("granted %v, want the request whose limit is not exceeded as well", dr.granted)
	}
}

// All requests that wait for an adapter are granted once it is loaded, so they count although no
// report contains them.
func TestBacklogLimitCountsRequestsThatWaitForTheSameAdapter(t *testing.T) {
	dr := newDriver(t, 2)
	for _, attempt := range []string{"r1", "r2", "r3"} {
		dr.reserve(attempt, "a1", 0, false)
	}
	if got := dr.en.Load(dr.now).Backlog; got != 0 {
		t.Errorf("reported backlog %s while the adapter loads, want none", got)
	}
	dr.reserveLimited("other", "a2", PrefillTime(1000))
	if len(dr.refused) != 0 {
		t.Errorf("refused %v for requests that wait for another adapter", dr.refused)
	}
	dr.reserveLimited("same", "a1", PrefillTime(1000))
	if len(dr.refused) != 1 || dr.refused[0] != "same" {
		t.Errorf("refused %v, want the request for the adapter that three others wait for", dr.refused)
	}
}
