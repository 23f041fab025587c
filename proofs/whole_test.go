package proofs

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bambooladder/bambooladder/stand/engine"
)

// smallWorld is a deployment of two entry nodes, two engines and a ledger.
func smallWorld() worldOptions {
	return worldOptions{
		seed: 1, engines: 2, entries: 2, slots: 2, places: 4, fencing: true,
		adapters: []string{"cure", "boot", "shell"}, callTime: 20 * time.Millisecond, hostLag: 5 * time.Second,
	}
}

// inWorld runs a test against a deployment in virtual time.
func inWorld(t *testing.T, op worldOptions, test func(t *testing.T, wo *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		wo := newWorld(t, op)
		defer wo.close()
		test(t, wo)
	})
}

// mustAnswer fails unless the answer is whole and the one expected.
func mustAnswer(t *testing.T, re reply, model, prompt string, tokens int) {
	t.Helper()
	text, whole := re.text()
	if want := engine.ExpectedText(model, prompt, tokens); !whole || text != want {
		t.Fatalf("status %d, error %v, whole %t, text %q instead of %q, body %.300q", re.status, re.err, whole, text, want, re.body)
	}
}

func TestAnswersInVirtualTime(t *testing.T) {
	inWorld(t, smallWorld(), func(t *testing.T, wo *world) {
		for ix, model := range []string{"cure@1", "cure@2", "boot@1", "shell@1", "shell@2", "cure@1"} {
			mustAnswer(t, wo.ask("caller", entryName(ix%2), model, "how long", 20, ix%2 == 0, 10*time.Second), model, "how long", 20)
		}
		key := newKey()
		for ix := range 3 {
			if re := wo.call("caller", entryName(ix%2), key, `{"batch":1}`, 5*time.Second); re.status != http.StatusCreated {
				t.Fatalf("status %d, error %v, body %s", re.status, re.err, re.body)
			}
		}
		if got := len(wo.plain.RecordedCalls()); got != 1 {
			t.Fatalf("%d releases instead of one", got)
		}
	})
}
