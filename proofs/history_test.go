package proofs

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bambooladder/bambooladder/core/admin"
	"github.com/bambooladder/bambooladder/stand/engine"
	"github.com/bambooladder/bambooladder/stand/logsvc"
)

const (
	historyLength = 20 * time.Second
	answerMargin  = 500 * time.Millisecond
	inForceMax    = 8 * time.Second
	historyShards = 8
)

// modelRecord is what one caller saw of one model request.
type modelRecord struct {
	model  string
	prompt string
	tokens int
	stream bool
	wait   time.Duration
	sends  []sent
}

// callRecord is what one caller saw of one call that must not be repeated.
type callRecord struct {
	key   string
	body  string
	wait  time.Duration
	sends []sent
}

// sent is one send with the entry node's start it went to.
type sent struct {
	host string
	// offered is true when the balancer held the entry node ready.
	offered bool
	at      time.Time
	re      reply
}

// changeRecord is what an operator saw of a change.
type changeRecord struct {
	revision int64
	at       time.Time
}

// sighting is the revision that an entry node's start showed.
type sighting struct {
	host     string
	at       time.Time
	ready    bool
	revision int64
}

// history is one run under failures with the records of those outside.
type history struct {
	t    *testing.T
	wo   *world
	seed uint64

	mu        sync.Mutex
	models    []*modelRecord
	calls     []*callRecord
	changes   []changeRecord
	sightings []sighting
	killed    map[string]time.Time
	faults    []string
	ready     []string
	pauses    []pause
}

// pause is a time in which an entry node's start was held back.
type pause struct {
	host string
	from time.Time
	to   time.Time
}

// runHistory runs one seeded history and checks it.
func runHistory(t *testing.T, seed uint64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		rd := rand.New(rand.NewPCG(seed, 1))
		wo := newWorld(t, worldOptions{
			seed: seed, engines: 2 + rd.IntN(2), entries: 2 + rd.IntN(2), slots: 1 + rd.IntN(3), places: 2 + rd.IntN(3),
			fencing: rd.IntN(2) == 0, adapters: []string{"cure", "boot", "shell"},
			callTime: time.Duration(rd.IntN(200)) * time.Millisecond, hostLag: time.Duration(rd.IntN(10)) * time.Second,
		})
		defer wo.close()
		hi := &history{t: t, wo: wo, seed: seed, killed: map[string]time.Time{}}
		hi.run(rd)
		hi.check()
		if t.Failed() {
			t.Logf("seed %d, faults:\n%s", seed, strings.Join(hi.faults, "\n"))
		}
	})
}

// run lets callers, operators and faults act together, then heals and settles.
func (hi *history) run(rd *rand.Rand) {
	wg := sync.WaitGroup{}
	end := time.Now().Add(historyLength)
	for ix := range 4 {
		source := rand.New(rand.NewPCG(hi.seed, uint64(100+ix)))
		wg.Go(func() { hi.callModels(ix, source, end) })
	}
	for ix := range 3 {
		source := rand.New(rand.NewPCG(hi.seed, uint64(200+ix)))
		wg.Go(func() { hi.callLedger(ix, source, end) })
	}
	operator := rand.New(rand.NewPCG(hi.seed, 300))
	wg.Go(func() { hi.operate(operator, end) })
	watching := make(chan struct{})
	watcher := sync.WaitGroup{}
	watcher.Go(func() { hi.watch(watching) })
	watcher.Go(func() { hi.balance(watching) })
	hi.injectFaults(rd, end)
	wg.Wait()
	time.Sleep(inForceMax + time.Second)
	close(watching)
	watcher.Wait()
	hi.checkLiveness()
}

// entry picks an entry node that the balancer holds ready, or any where there is none, and returns its name, its present start and whether it is held ready.
func (hi *history) entry(rd *rand.Rand) (string, string, bool) {
	hi.mu.Lock()
	ready := append([]string(nil), hi.ready...)
	hi.mu.Unlock()
	name := entryName(rd.IntN(hi.wo.op.entries))
	if len(ready) > 0 {
		name = ready[rd.IntN(len(ready))]
	}
	return name, hi.wo.current(name).host, len(ready) > 0
}

// balance keeps the list of entry nodes that say they are ready.
func (hi *history) balance(done <-chan struct{}) {
	for {
		ready := make([]string, 0)
		for ix := range hi.wo.op.entries {
			re := hi.wo.send("balancer", http.MethodGet, "http://"+entryName(ix)+":1/ready", "", "", 100*time.Millisecond)
			if re.status == http.StatusOK {
				ready = append(ready, entryName(ix))
			}
		}
		hi.mu.Lock()
		hi.ready = ready
		hi.mu.Unlock()
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// callModels sends model requests and sends some again after an error.
func (hi *history) callModels(caller int, rd *rand.Rand, end time.Time) {
	for count := 0; time.Now().Before(end); count++ {
		mr := &modelRecord{
			model:  fmt.Sprintf("%s@%d", hi.wo.op.adapters[rd.IntN(3)], 1+rd.IntN(2)),
			prompt: fmt.Sprintf("prompt %d of caller %d", count, caller), tokens: 1 + rd.IntN(60),
			stream: rd.IntN(2) == 0, wait: time.Duration(1+rd.IntN(6)) * time.Second,
		}
		if rd.IntN(4) == 0 {
			mr.prompt = "shared prompt"
		}
		hi.mu.Lock()
		hi.models = append(hi.models, mr)
		hi.mu.Unlock()
		for range 3 {
			name, host, offered := hi.entry(rd)
			at := time.Now()
			re := hi.wo.ask("caller", name, mr.model, mr.prompt, mr.tokens, mr.stream, mr.wait)
			mr.sends = append(mr.sends, sent{host: host, offered: offered, at: at, re: re})
			if _, whole := re.text(); whole {
				break
			}
			time.Sleep(time.Duration(rd.IntN(500)) * time.Millisecond)
		}
		time.Sleep(time.Duration(rd.IntN(300)) * time.Millisecond)
	}
}

// callLedger sends calls that must not be repeated, and sends them again through any entry node.
func (hi *history) callLedger(caller int, rd *rand.Rand, end time.Time) {
	for count := 0; time.Now().Before(end); count++ {
		cr := &callRecord{key: newKey(), body: fmt.Sprintf(`{"call":"%d/%d"}`, caller, count), wait: time.Duration(1+rd.IntN(5)) * time.Second}
		hi.mu.Lock()
		hi.calls = append(hi.calls, cr)
		hi.mu.Unlock()
		for range 1 + rd.IntN(4) {
			name, host, offered := hi.entry(rd)
			at := time.Now()
			re := hi.wo.call("caller", name, cr.key, cr.body, cr.wait)
			cr.sends = append(cr.sends, sent{host: host, offered: offered, at: at, re: re})
			time.Sleep(time.Duration(rd.IntN(700)) * time.Millisecond)
		}
		time.Sleep(time.Duration(rd.IntN(400)) * time.Millisecond)
	}
}

// operate races two operators for the same subtree.
func (hi *history) operate(rd *rand.Rand, end time.Time) {
	for count := 0; time.Now().Before(end); count++ {
		name, _, _ := hi.entry(rd)
		if _, ok := hi.wo.node(name); ok {
			hi.change(name, fmt.Sprintf("change-%d-a", count), rd)
			other, _, _ := hi.entry(rd)
			hi.change(other, fmt.Sprintf("change-%d-b", count), rd)
		}
		time.Sleep(time.Duration(500+rd.IntN(2000)) * time.Millisecond)
	}
}

// change proposes a new description of the base model on the revision that an entry node shows.
func (hi *history) change(entry, id string, rd *rand.Rand) {
	base := hi.base(entry)
	edit := admin.Edit{Path: "models/base", Base: base, Body: []byte(`{"description":"` + id + `"}`)}
	for range 2 {
		oc, status := hi.wo.propose(entry, admin.Change{ID: id, Edits: []admin.Edit{edit}})
		if status == http.StatusOK && oc.Kind == "accepted" {
			hi.mu.Lock()
			hi.changes = append(hi.changes, changeRecord{revision: oc.Revision, at: time.Now()})
			hi.mu.Unlock()
			return
		}
		if status == http.StatusConflict || status == http.StatusUnprocessableEntity {
			return
		}
		entry, _, _ = hi.entry(rd)
	}
}

// base returns the revision of the base model's subtree on an entry node.
func (hi *history) base(entry string) int64 {
	re := hi.wo.send("operator", http.MethodGet, "http://"+entry+":2/admin/v1/settings", rootToken, "", time.Second)
	for _, su := range settingsOf(re.body).Subtrees {
		if su.Path == "models/base" {
			return su.Revision
		}
	}
	return 0
}

// watch notes the revision in force on every entry node.
func (hi *history) watch(done <-chan struct{}) {
	for {
		for ix := range hi.wo.op.entries {
			name := entryName(ix)
			host := hi.wo.current(name).host
			no, ok := hi.wo.node(name)
			if ok && host == hi.wo.current(name).host {
				hi.mu.Lock()
				hi.sightings = append(hi.sightings, sighting{host: host, at: time.Now(), ready: no.Ready, revision: no.Revision})
				hi.mu.Unlock()
			}
		}
		select {
		case <-done:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// note records a fault.
func (hi *history) note(format string, args ...any) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	hi.faults = append(hi.faults, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// injectFaults causes one fault after the other, some of which last, and heals all at the end.
func (hi *history) injectFaults(rd *rand.Rand, end time.Time) {
	wg := sync.WaitGroup{}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(300+rd.IntN(2500)) * time.Millisecond)
		runner := runnerName(rd.IntN(hi.wo.op.engines))
		entry := entryName(rd.IntN(hi.wo.op.entries))
		length := time.Duration(200+rd.IntN(5000)) * time.Millisecond
		fault := rd.IntN(len(faultNames))
		modes := []logsvc.Mode{logsvc.Down, logsvc.Silent, logsvc.LoseAnswers}
		mode := modes[rd.IntN(len(modes))]
		hi.note("%s runner=%s entry=%s mode=%s length=%s", faultNames[fault], runner, entry, mode, length)
		wg.Go(func() { hi.inject(faultNames[fault], runner, entry, mode, length) })
	}
	wg.Wait()
	hi.note("healed")
}

var faultNames = []string{
	"kill agent", "kill ledger agent", "kill entry", "crash engine", "freeze engine", "silence link", "separate link",
	"cut link", "log fault", "log slow", "store down", "store slow", "orders lost", "orders late", "stop agent", "stop entry",
	"silence engine", "silence log", "silence ledger link", "ledger agent away", "stop ledger agent",
	"freeze agent", "freeze ledger agent", "freeze entry", "log away",
}

// inject causes one fault and heals it after its length.
func (hi *history) inject(name, runner, entry string, mode logsvc.Mode, length time.Duration) {
	wo := hi.wo
	runnerHost, entryHost := wo.current(runner).host, wo.current(entry).host
	ledgerHost := wo.current("ledger").host
	en := wo.engines[runnerIndex(runner)]
	switch name {
	case "kill agent":
		hi.restart(runner, length)
	case "kill ledger agent":
		hi.restart("ledger", length)
	case "kill entry":
		hi.restart(entry, length)
	case "crash engine":
		en.Crash()
	case "freeze engine":
		en.SetFrozen(true)
		time.Sleep(length)
		en.SetFrozen(false)
	case "silence link":
		wo.net.silence(entryHost, runnerHost)
	case "silence ledger link":
		wo.net.silence(entryHost, ledgerHost)
	case "separate link":
		wo.net.separate(entryHost, runnerHost)
		time.Sleep(length)
		wo.net.join(entryHost, runnerHost)
	case "ledger agent away":
		wo.net.separate(entryHost, ledgerHost)
		time.Sleep(length)
		wo.net.join(entryHost, ledgerHost)
	case "cut link":
		wo.net.cut(entryHost, runnerHost)
	case "log fault":
		wo.log.SetMode(mode)
		time.Sleep(length)
		wo.log.SetMode(logsvc.Up)
	case "log slow":
		wo.log.SetDelay(length / 4)
		time.Sleep(length)
		wo.log.SetDelay(0)
	case "store down":
		wo.store.SetDown(true)
		time.Sleep(length)
		wo.store.SetDown(false)
	case "store slow":
		wo.store.SetSlowdown(10)
		time.Sleep(length)
		wo.store.SetSlowdown(1)
	case "orders lost":
		en.SetOrderFaults(0, true)
		time.Sleep(length)
		en.SetOrderFaults(0, false)
	case "orders late":
		en.SetOrderFaults(length/2, false)
		time.Sleep(length)
		en.SetOrderFaults(0, false)
	case "stop agent":
		hi.stopAndStart(runner, length)
	case "stop ledger agent":
		hi.stopAndStart("ledger", length)
	case "stop entry":
		hi.stopAndStart(entry, length)
	case "freeze agent":
		wo.net.freeze(runnerHost, length)
	case "freeze ledger agent":
		wo.net.freeze(ledgerHost, length)
	case "freeze entry":
		hi.froze(entryHost, length)
		wo.net.freeze(entryHost, length)
	case "log away":
		wo.net.separate(entryHost, "log")
		time.Sleep(length)
		wo.net.join(entryHost, "log")
	case "silence engine":
		wo.net.silence(runnerHost, engineName(runnerIndex(runner)))
	case "silence log":
		wo.net.silence(entryHost, "log")
	}
}

// froze notes that an entry node's start was held back; what it sends and shows
// meanwhile is late by nobody's fault but the pause's.
func (hi *history) froze(host string, length time.Duration) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	hi.pauses = append(hi.pauses, pause{host: host, from: time.Now(), to: time.Now().Add(length)})
}

// paused tells whether an entry node's start was held back at some time between two.
func (hi *history) paused(host string, from, to time.Time) bool {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	for _, pa := range hi.pauses {
		if pa.host == host && pa.from.Before(to) && pa.to.Add(time.Second).After(from) {
			return true
		}
	}
	return false
}

// claimProgram makes sure that one fault at a time restarts a program.
func (hi *history) claimProgram(name string) bool {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	if _, busy := hi.killed["busy/"+name]; busy {
		return false
	}
	hi.killed["busy/"+name] = time.Now()
	return true
}

// freeProgram allows the next restart of a program.
func (hi *history) freeProgram(name string) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	delete(hi.killed, "busy/"+name)
}

// restart kills a program and starts it anew after a time.
func (hi *history) restart(name string, after time.Duration) {
	if !hi.claimProgram(name) {
		return
	}
	defer hi.freeProgram(name)
	hi.ended(hi.wo.current(name).host)
	hi.wo.kill(name)
	time.Sleep(after)
	hi.startAgain(name)
}

// stopAndStart stops a program as planned and starts it anew after a time.
func (hi *history) stopAndStart(name string, after time.Duration) {
	if !hi.claimProgram(name) {
		return
	}
	defer hi.freeProgram(name)
	host := hi.wo.current(name).host
	hi.wo.stop(name)
	hi.ended(host)
	time.Sleep(after)
	hi.startAgain(name)
}

// ended notes when a start of a program ended.
func (hi *history) ended(host string) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	hi.killed[host] = time.Now()
}

// startAgain starts a program anew.
func (hi *history) startAgain(name string) {
	if strings.HasPrefix(name, "entry-") {
		hi.wo.startEntry(name)
		return
	}
	hi.wo.startAgent(name)
}

// check holds every point over the records.
func (hi *history) check() {
	hi.checkModels()
	hi.checkCalls()
	hi.checkSettings()
	for ix, en := range hi.wo.engines {
		if vi := en.Violations(); vi.EvictedWhileServing > 0 {
			hi.t.Errorf("engine %d: %d requests lost their adapter while they ran", ix, vi.EvictedWhileServing)
		}
	}
}

// checkModels holds that answers are whole and the caller's own, in time, and that "not run" is true.
func (hi *history) checkModels() {
	ran := map[string]int{}
	for _, en := range hi.wo.engines {
		for _, se := range en.Served() {
			ran[se.Model+"/"+se.Prompt]++
		}
	}
	for _, mr := range hi.models {
		what := mr.model + "/" + mr.prompt
		onlyNotRun := len(mr.sends) > 0
		for _, se := range mr.sends {
			text, whole := se.re.text()
			if want := engine.ExpectedText(mr.model, mr.prompt, mr.tokens); whole && text != want {
				hi.t.Errorf("%s: text %q instead of %q", what, text, want)
			}
			if !whole && se.re.err == nil && se.re.status == http.StatusOK {
				hi.t.Errorf("%s: an answer that is not whole ended like a whole one: %q", what, se.re.body)
			}
			hi.checkRefusal(what, se, mr.wait)
			onlyNotRun = onlyNotRun && se.re.outcome == "not_run"
		}
		if onlyNotRun && mr.prompt != "shared prompt" && ran[what] > 0 {
			hi.t.Errorf("%s: said not to have run, but ran %d times", what, ran[what])
		}
	}
}

// checkCalls holds that a call ran at most once, that "not run" is true and that every answer is the same.
func (hi *history) checkCalls() {
	ran := map[string]int{}
	for _, re := range hi.wo.plain.RecordedCalls() {
		ran[re.Key]++
	}
	for _, cr := range hi.calls {
		answers := map[string]bool{}
		onlyNotRun := len(cr.sends) > 0
		for _, se := range cr.sends {
			if se.re.err == nil && se.re.status == http.StatusCreated {
				answers[se.re.body] = true
			}
			hi.checkRefusal(cr.key, se, cr.wait)
			onlyNotRun = onlyNotRun && se.re.outcome == "not_run"
		}
		switch {
		case ran[cr.key] > 1:
			hi.t.Errorf("call %s ran %d times", cr.key, ran[cr.key])
		case onlyNotRun && ran[cr.key] > 0:
			hi.t.Errorf("call %s: said not to have run, but ran", cr.key)
		case len(answers) > 1:
			hi.t.Errorf("call %s has different answers: %v", cr.key, answers)
		case len(answers) == 1 && ran[cr.key] != 1:
			hi.t.Errorf("call %s was answered, but ran %d times", cr.key, ran[cr.key])
		}
	}
}

// checkRefusal holds that an answer comes in its time, and a refusal with its outcome and when to come back.
func (hi *history) checkRefusal(what string, se sent, wait time.Duration) {
	if se.re.err != nil {
		hi.mu.Lock()
		end, ended := hi.killed[se.host]
		hi.mu.Unlock()
		hadEnded := ended && end.Before(se.at.Add(se.re.took+time.Second))
		paused := hi.paused(se.host, se.at, se.at.Add(se.re.took))
		if se.re.status == 0 && se.offered && !hadEnded && !paused {
			hi.t.Errorf("%s: no answer from %s, which was not killed: %v", what, se.host, se.re.err)
		}
		return
	}
	if se.re.took > wait+answerMargin && !hi.paused(se.host, se.at, se.at.Add(se.re.took)) {
		hi.t.Errorf("%s: answered after %s although %s were allowed", what, se.re.took, wait)
	}
	if se.re.status < http.StatusBadRequest {
		return
	}
	if se.re.outcome == "" {
		hi.t.Errorf("%s: status %d without an outcome: %s", what, se.re.status, se.re.body)
	}
	if se.re.status == http.StatusUnauthorized || se.re.status == http.StatusNotFound || se.re.status == http.StatusForbidden {
		hi.t.Errorf("%s: status %d: %s", what, se.re.status, se.re.body)
	}
	if se.re.header.Get("Retry-After") == "" {
		hi.t.Errorf("%s: status %d does not say when to come back: %s", what, se.re.status, se.re.body)
	}
}

// checkSettings holds that no node goes back and that an accepted change is in force everywhere within 8 s.
func (hi *history) checkSettings() {
	newest := map[string]sighting{}
	for _, si := range hi.sightings {
		if si.revision < newest[si.host].revision {
			hi.t.Errorf("%s went back from revision %d to %d", si.host, newest[si.host].revision, si.revision)
		}
		newest[si.host] = si
		if !si.ready {
			continue
		}
		for _, ch := range hi.changes {
			started := hi.started(si.host)
			due := ch.at.Add(inForceMax)
			if si.at.After(due) && si.revision < ch.revision && started.Before(ch.at) && !hi.paused(si.host, ch.at, si.at) {
				hi.t.Errorf("%s has revision %d in force %s after %d was accepted", si.host, si.revision, si.at.Sub(ch.at), ch.revision)
				return
			}
		}
	}
}

// started returns when a start of an entry node was first seen.
func (hi *history) started(host string) time.Time {
	for _, si := range hi.sightings {
		if si.host == host {
			return si.at
		}
	}
	return time.Time{}
}

// checkLiveness holds that the deployment serves again once all is healed.
func (hi *history) checkLiveness() {
	for ix, adapter := range hi.wo.op.adapters {
		entry := entryName(ix % hi.wo.op.entries)
		hi.wo.await("answers of "+adapter+" through "+entry, func() bool {
			_, whole := hi.wo.ask("caller", entry, adapter+"@1", "after the failures", 5, false, 5*time.Second).text()
			return whole
		})
	}
	for ix := range hi.wo.op.entries {
		hi.wo.await("a ledger call", func() bool {
			return hi.wo.call("caller", entryName(ix), newKey(), `{"call":"last"}`, 5*time.Second).status == http.StatusCreated
		})
	}
}

// settingsOf reads the body of the accepted settings.
func settingsOf(body string) admin.Settings {
	se := admin.Settings{}
	_ = json.Unmarshal([]byte(body), &se)
	return se
}

// failedSeeds are those beyond the usual number that have failed once.
var failedSeeds = []uint64{1020, 2070, 2119}

// TestHistories runs seeded histories; HISTORIES sets their number, HISTORY_FROM the
// first seed, HISTORY_SEED runs one of them.
func TestHistories(t *testing.T) {
	if text := os.Getenv("HISTORY_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		runHistory(t, seed)
		return
	}
	count := 1000
	if text := os.Getenv("HISTORIES"); text != "" {
		count, _ = strconv.Atoi(text)
	}
	from, _ := strconv.Atoi(os.Getenv("HISTORY_FROM"))
	for _, seed := range failedSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			runHistory(t, seed)
		})
	}
	for shard := range historyShards {
		t.Run(fmt.Sprintf("shard %d", shard), func(t *testing.T) {
			t.Parallel()
			for seed := from + shard; seed < from+count; seed += historyShards {
				runHistory(t, uint64(seed))
				if t.Failed() {
					t.Fatalf("history %d failed; run it alone with HISTORY_SEED=%d", seed, seed)
				}
			}
		})
	}
}
