package proofs

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
)

// reloadedPrograms are the programs of a deployment that get SIGHUP when their settings change.
var reloadedPrograms = []string{"entry-1", "entry-2", "runner-1", "runner-2", "runner-3", "ledger-1"}

// reloadPause is the time between two changes of the settings files.
const reloadPause = 50 * time.Millisecond

// rewriteSettings replaces the settings file of a program and returns what it held.
func rewriteSettings(tb testing.TB, de *deployment, name, text string) string {
	tb.Helper()
	file := filepath.Join(de.dir, name+".yaml")
	earlier, err := os.ReadFile(file)
	if err != nil {
		tb.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		tb.Fatal(err)
	}
	return string(earlier)
}

// releaseCount returns the number of batch releases that the ledger has recorded.
func releaseCount(tb testing.TB, de *deployment) int {
	tb.Helper()
	_, _, body := de.request(tb, http.MethodGet, de.callers[0]+"/services/ledger/stock", de.token, "")
	stock := struct {
		Releases int `json:"releases"`
	}{}
	if err := json.Unmarshal([]byte(body), &stock); err != nil {
		tb.Fatal(err)
	}
	return stock.Releases
}

// testReload changes the settings files, with and without SIGHUP, while a stream is open and calls
// run that must not be repeated. Nothing may be interrupted, and each call runs once.
func testReload(t *testing.T, de *deployment) {
	resp := de.openChat(t, `{"model":"batch-sheet@3","stream":true,"max_tokens":300,"messages":[{"role":"user","content":"reload"}]}`)
	defer func() { _ = resp.Body.Close() }()
	before := releaseCount(t, de)
	calls := make(chan string)
	go func() {
		defer close(calls)
		for range 20 {
			status, _, body := de.request(t, http.MethodPost, de.callers[0]+"/services/ledger/releases", de.token, `{"batch":9}`,
				"Idempotency-Key", uuid.Must(uuid.NewV7()).String())
			if status != http.StatusCreated {
				calls <- fmt.Sprintf("status %d, body %s", status, body)
			}
		}
	}()
	whole := map[string]string{}
	for _, name := range reloadedPrograms {
		whole[name] = rewriteSettings(t, de, name, "\t: broken")
		signalProgram(t, de, name, syscall.SIGHUP)
	}
	time.Sleep(reloadPause)
	for _, name := range reloadedPrograms {
		rewriteSettings(t, de, name, whole[name]+"\n# changed without a signal\n")
	}
	time.Sleep(reloadPause)
	for _, name := range reloadedPrograms {
		rewriteSettings(t, de, name, whole[name])
		signalProgram(t, de, name, syscall.SIGHUP)
	}
	for failure := range calls {
		t.Errorf("a call was interrupted: %s", failure)
	}
	if got := releaseCount(t, de) - before; got != 20 {
		t.Errorf("20 calls ran %d times", got)
	}
	if data, err := io.ReadAll(resp.Body); err != nil || !strings.HasSuffix(string(data), "data: [DONE]\n\n") {
		t.Errorf("a reload interrupted the stream: %v", err)
	}
	for _, name := range reloadedPrograms {
		waitFor(t, name+" logs the reload", func() bool {
			data, err := os.ReadFile(filepath.Join(de.dir, name+".log"))
			return err == nil && strings.Count(string(data), "event=reload_requested") == 2
		})
	}
}
