package proofs

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/admin"
	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/stand/engine"
	"github.com/bambooladder/bambooladder/stand/hostls"
)

// An engine crash must not interrupt answers: the rest is generated on another engine. The test
// crashes an engine while it generates streams and plain answers; every answer must be complete.
func TestAnswersCompleteAfterEngineCrash(t *testing.T) {
	runSimulation(t, smallSimulation(), func(t *testing.T, sm *simulation) {
		wg := sync.WaitGroup{}
		for ix := range 4 {
			wg.Go(func() {
				prompt := fmt.Sprint("long answer ", ix)
				mustAnswer(t, sm.sendChat("caller", entryName(ix%2), "boot@2", prompt, 200, ix < 2, 19*time.Second), "boot@2", prompt, 200)
			})
		}
		time.Sleep(1500 * time.Millisecond)
		crashBusyEngine(sm)
		wg.Wait()
	})
}

// Engines of two software versions serve side by side. When an engine crashes, its streams must go on only at
// engines of its version: completely if one is left, else not at all.
func TestStreamGoesOnOnlyAtAnEngineOfItsSoftwareVersion(t *testing.T) {
	for name, tc := range map[string]struct {
		software []string
		goesOn   bool
	}{
		"another engine of the version": {[]string{"v1", "v2", "v1", "v2"}, true},
		"no other engine of it":         {[]string{"v1", "v2"}, false},
		"engines that name no version":  {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			op := smallSimulation()
			op.software, op.engines = tc.software, max(2, len(tc.software))
			runSimulation(t, op, func(t *testing.T, sm *simulation) {
				wg := sync.WaitGroup{}
				replies := [4]reply{}
				for ix := range replies {
					wg.Go(func() {
						replies[ix] = sm.sendChat("caller", entryName(ix%2), "boot@2", fmt.Sprint("long answer ", ix), 200, true, 19*time.Second)
					})
				}
				time.Sleep(1500 * time.Millisecond)
				begun := begunAt(crashBusyEngine(sm))
				if len(begun) == 0 {
					t.Fatal("no stream had begun at the engine that crashed")
				}
				wg.Wait()
				for ix, re := range replies {
					prompt := fmt.Sprint("long answer ", ix)
					want := tc.goesOn || !begun[prompt]
					if text, complete := re.text(); complete != want || complete && text != engine.ExpectedText("boot@2", prompt, 200) {
						t.Errorf("answer complete: %t, want %t; status %d, error %v", complete, want, re.status, re.err)
					}
				}
			})
		})
	}
}

// begunAt returns the prompts whose answers broke off at an engine after their first tokens.
func begunAt(en *engine.Engine) map[string]bool {
	begun := map[string]bool{}
	for _, se := range en.Served() {
		if !se.Complete && se.Tokens > 10 {
			begun[se.Prompt] = true
		}
	}
	return begun
}

// crashBusyEngine crashes the first engine that has decoded tokens, and returns it.
func crashBusyEngine(sm *simulation) *engine.Engine {
	for _, en := range sm.engines {
		if _, filled := en.BatchFill(); filled > 0 {
			en.Crash()
			return en
		}
	}
	return &engine.Engine{}
}

// A caller that does not read its stream must not block other requests on the same agent connection.
// The test leaves a long stream unread while others are answered; then the stream must be complete.
func TestUnreadStreamDoesNotDelayOtherCallers(t *testing.T) {
	op := smallSimulation()
	op.engines = 1
	runSimulation(t, op, func(t *testing.T, sm *simulation) {
		co, err := sm.net.forHost("slow caller").DialContext(t.Context(), "tcp", entryName(0)+":1")
		if err != nil {
			t.Fatal(err)
		}
		body := `{"model":"cure@1","stream":true,"max_tokens":1500,"messages":[{"role":"user","content":"slow"}]}`
		_, _ = fmt.Fprintf(co, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", callerToken, len(body), body)
		time.Sleep(5 * time.Second)
		for ix := range 10 {
			prompt := fmt.Sprint("quick ", ix)
			re := sm.sendChat("caller", entryName(0), "cure@1", prompt, 10, true, 2*time.Second)
			mustAnswer(t, re, "cure@1", prompt, 10)
		}
		resp, err := http.ReadResponse(bufio.NewReader(co), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		if err != nil || strings.Count(string(data), "data: ") != 1502 {
			t.Errorf("the slow caller received %d events, want 1502, error %v", strings.Count(string(data), "data: "), err)
		}
		_ = co.Close()
	})
}

// A host may be marked as leaving in the host list without its agent knowing. Three seconds later its
// engine must receive no further requests, and every request must be answered.
func TestRunnerMarkedLeavingInHostListGetsNoNewRequests(t *testing.T) {
	op := smallSimulation()
	op.hostListLag = 0
	runSimulation(t, op, func(t *testing.T, sm *simulation) {
		sm.hosts.Put(hostls.Host{Name: runnerName(0), Role: "agent", Address: runnerName(0) + ":1", Leaving: true})
		listed := time.Now()
		for ix := range 30 {
			prompt := fmt.Sprint("request ", ix)
			mustAnswer(t, sm.sendChat("caller", entryName(ix%2), "cure@1", prompt, 10, false, 5*time.Second), "cure@1", prompt, 10)
			time.Sleep(200 * time.Millisecond)
		}
		for _, se := range sm.engines[0].Served() {
			if se.Started.After(listed.Add(3 * time.Second)) {
				t.Errorf("the engine of the leaving host started %q", se.Prompt)
			}
		}
	})
}

// A team replaces an adapter version while callers request the old and the new one. Requests for the
// new version must not fail, and those for the old one may only be refused as forbidden.
func TestReplacedVersionIsForbiddenWhileOtherRequestsSucceed(t *testing.T) {
	runSimulation(t, smallSimulation(), func(t *testing.T, sm *simulation) {
		wg := sync.WaitGroup{}
		end := time.Now().Add(6 * time.Second)
		for caller := range 4 {
			wg.Go(func() {
				for count := 0; time.Now().Before(end); count++ {
					model, prompt := fmt.Sprint("cure@", 1+count%2), fmt.Sprint("request ", caller, " ", count)
					re := sm.sendChat("caller", entryName(caller%2), model, prompt, 10, false, 5*time.Second)
					if re.status == http.StatusForbidden && model == "cure@1" {
						continue
					}
					mustAnswer(t, re, model, prompt, 10)
				}
			})
		}
		time.Sleep(2 * time.Second)
		team, _ := sm.initialSettings()["teams/recipe"].(conf.Team)
		team.Adapters = []string{"cure@2", "boot@1"}
		sm.changeTeam(t, team)
		wg.Wait()
		if re := sm.sendChat("caller", entryName(0), "cure@1", "late", 5, false, 5*time.Second); re.status != http.StatusForbidden {
			t.Errorf("request for the replaced version: status %d, want 403", re.status)
		}
	})
}

// changeTeam replaces the subtree of the team, based on its current revision.
func (sm *simulation) changeTeam(t *testing.T, team conf.Team) {
	t.Helper()
	re := sm.send("operator", http.MethodGet, "http://"+entryName(0)+":2/admin/v1/settings", rootToken, "", time.Second)
	for _, su := range settingsOf(re.body).Subtrees {
		if su.Path != "teams/recipe" {
			continue
		}
		oc, status := sm.proposeChange(entryName(0), admin.Change{ID: "team", Edits: []admin.Edit{{Path: su.Path, Base: su.Revision, Body: toJSON(team)}}})
		if status != http.StatusOK {
			t.Errorf("change of the team: status %d, outcome %+v", status, oc)
		}
	}
}
