package proofs

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bambooladder/bambooladder/stand/engine"
)

// smallSimulation returns the options for two entry nodes, two engines and the ledger service.
func smallSimulation() simulationOptions {
	return simulationOptions{
		seed: 1, engines: 2, entries: 2, adapterSlots: 2, batchSize: 4, checksFencing: true,
		adapters: []string{"cure", "boot", "shell"}, serviceCallTime: 20 * time.Millisecond, hostListLag: 5 * time.Second,
	}
}

// runSimulation runs a test on a deployment in virtual time.
func runSimulation(t *testing.T, op simulationOptions, test func(t *testing.T, sm *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sm := newSimulation(t, op)
		defer sm.close()
		test(t, sm)
	})
}

// mustAnswer fails the test unless the answer is complete and has the expected text.
func mustAnswer(t *testing.T, re reply, model, prompt string, tokens int) {
	t.Helper()
	text, complete := re.text()
	if want := engine.ExpectedText(model, prompt, tokens); !complete || text != want {
		t.Fatalf("status %d, error %v, complete %t, text %q, want %q, body %.300q", re.status, re.err, complete, text, want, re.body)
	}
}

// Without faults, chats for several adapter versions must be answered through both entry nodes, and a
// call that is repeated with the same key must run once.
func TestSimulationAnswersChatsAndRunsClaimedCallOnce(t *testing.T) {
	runSimulation(t, smallSimulation(), func(t *testing.T, sm *simulation) {
		for ix, model := range []string{"cure@1", "cure@2", "boot@1", "shell@1", "shell@2", "cure@1"} {
			mustAnswer(t, sm.sendChat("caller", entryName(ix%2), model, "how long", 20, ix%2 == 0, 10*time.Second), model, "how long", 20)
		}
		key := newIdempotencyKey()
		for ix := range 3 {
			if re := sm.postRelease("caller", entryName(ix%2), key, `{"batch":1}`, 5*time.Second); re.status != http.StatusCreated {
				t.Fatalf("ledger call: status %d, error %v, body %s", re.status, re.err, re.body)
			}
		}
		if got := len(sm.plain.RecordedCalls()); got != 1 {
			t.Fatalf("the ledger recorded %d releases, want 1", got)
		}
	})
}
