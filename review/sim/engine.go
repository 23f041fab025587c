package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// EngineOptions describes an engine.
type EngineOptions struct {
	Service, Model string
	// Memory is the number of tokens that running requests may take, AdapterSlots the number of adapters.
	Memory, AdapterSlots int
	// EventPeriod is the time between two events of a stream, TokensPerEvent what each holds.
	EventPeriod    time.Duration
	TokensPerEvent int
	// LoadTime and AdapterTime are how long the model and an adapter take to load.
	LoadTime, AdapterTime time.Duration
}

// adapter is an adapter that an engine has loaded or is loading.
type adapter struct {
	version int
	loaded  bool
	users   int
}

// Engine is a model engine. It is created by StartEngine.
type Engine struct {
	*server
	op EngineOptions

	emu sync.Mutex
	// orders is the number of orders accepted, busy is true while the model loads, unloading while an
	// adapter waits for its requests before it goes.
	orders          int
	busy, unloading bool
	loaded          bool
	adapters        map[string]*adapter
	// newest is the newest version of each adapter.
	newest           map[string]int
	running, waiting int
	memoryUsed       int
	freed            chan struct{}
}

// StartEngine starts an engine that holds nothing yet and is known to the store.
func StartEngine(re *Record, st *Store, id, ip string, op EngineOptions) (*Engine, error) {
	en := &Engine{op: op, adapters: map[string]*adapter{}, newest: map[string]int{}, freed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /bambooladder/report", en.serveReport)
	mux.HandleFunc("POST /bambooladder/order", en.serveOrder)
	mux.HandleFunc("/", en.serveRequest)
	se, err := startServer(re, st, id, op.Service, ip, mux, en.describe)
	if err != nil {
		return nil, fmt.Errorf("sim: start engine: %w", err)
	}
	en.emu.Lock()
	en.server = se
	en.emu.Unlock()
	return en, nil
}

// Announce tells the engine that its weight store has a version of an adapter.
func (en *Engine) Announce(name string, version int) {
	en.emu.Lock()
	defer en.emu.Unlock()
	en.newest[name] = version
}

// newestOf returns the newest version of an adapter. The lock must be held.
func (en *Engine) newestOf(name string) int { return max(1, en.newest[name]) }

// models returns what the engine has loaded, and what is being loaded. The lock must be held.
func (en *Engine) models() ([]any, []string) {
	ready, coming := []string{}, []string{}
	for name, ad := range en.adapters {
		text := name + "@" + strconv.Itoa(ad.version)
		if ad.loaded {
			ready = append(ready, text)
		} else {
			coming = append(coming, en.op.Model+"/"+text)
		}
	}
	slices.Sort(ready)
	slices.Sort(coming)
	if !en.loaded {
		return []any{}, coming
	}
	return []any{map[string]any{"name": en.op.Model, "version": 1, "adapters": ready}}, coming
}

// describe adds the engine's fields to its record.
func (en *Engine) describe(fields map[string]any) {
	en.emu.Lock()
	defer en.emu.Unlock()
	models, _ := en.models()
	fields["stage"], fields["models"], fields["slots"] = "both", models, 64
}

// serveReport answers with the engine's state.
func (en *Engine) serveReport(wr http.ResponseWriter, rq *http.Request) {
	if !en.expects(wr, rq) {
		return
	}
	en.emu.Lock()
	models, coming := en.models()
	state := stateReady
	if en.leaving.Load() {
		state = stateDraining
	}
	fields := map[string]any{
		"stage": "both", "models": models, "coming": coming, "busy": en.busy, "seq": en.orders, "waiting": en.waiting, "running": en.running,
		"kv_used": en.memoryUsed, "kv_total": en.op.Memory, "handles": 0, "state": state, "born": en.born,
		"at_hand": map[string]any{"in_memory": []string{}, "on_disk": []string{en.op.Model}},
	}
	en.emu.Unlock()
	wr.Header().Set(headerType, "application/json")
	// A caller that has left gets no answer.
	_ = json.NewEncoder(wr).Encode(fields)
}

// order is the body of an order.
type order struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Version      int    `json:"version"`
	Precondition *int   `json:"precondition"`
	Holder       string `json:"holder"`
	FencingToken *int   `json:"fencing_token"`
}

// serveOrder answers an order and carries it out.
func (en *Engine) serveOrder(wr http.ResponseWriter, rq *http.Request) {
	if !en.expects(wr, rq) {
		return
	}
	or := order{}
	if err := json.NewDecoder(rq.Body).Decode(&or); err != nil || or.Holder == "" || or.FencingToken == nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	en.emu.Lock()
	status := en.carryOut(&or)
	text := fmt.Sprintf("%s is ordered by %s to %s %s@%d: %d, holds %s", en.ID, or.Holder, or.Operation, or.Model+"/"+or.Adapter, or.Version, status, en.held())
	en.emu.Unlock()
	en.re.Printf("%s", text)
	wr.WriteHeader(status)
}

// held returns the adapters as text. The lock must be held.
func (en *Engine) held() string {
	list := make([]string, 0, len(en.adapters))
	for name, ad := range en.adapters {
		list = append(list, fmt.Sprintf("%s@%d(%d)", name, ad.version, ad.users))
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

// carryOut begins an order and returns the status of its answer. The lock must be held.
func (en *Engine) carryOut(or *order) int {
	switch {
	case en.busy || en.unloading || or.Precondition != nil && *or.Precondition != en.orders:
		return http.StatusConflict
	case or.Operation == "load" && or.Adapter == "":
		return en.loadModel()
	case or.Model != en.op.Model || !en.loaded:
		return http.StatusBadRequest
	case or.Operation == "load":
		return en.loadAdapter(or)
	case or.Operation == "unload" && or.Adapter != "":
		return en.unloadAdapter(or.Adapter)
	}
	return http.StatusBadRequest
}

// loadModel begins to load the model. The lock must be held.
func (en *Engine) loadModel() int {
	if en.loaded {
		return http.StatusOK
	}
	en.orders++
	en.busy = true
	time.AfterFunc(en.op.LoadTime, func() {
		en.emu.Lock()
		defer en.emu.Unlock()
		en.loaded, en.busy = true, false
	})
	return http.StatusAccepted
}

// loadAdapter begins to load an adapter, which replaces an older version once that is idle. The lock must
// be held.
func (en *Engine) loadAdapter(or *order) int {
	version := or.Version
	if version == 0 {
		version = en.newestOf(or.Adapter)
	}
	present := en.adapters[or.Adapter]
	if present != nil && present.version >= version {
		return http.StatusOK
	}
	if present == nil && len(en.adapters) >= en.op.AdapterSlots {
		en.re.Printf("%s: RULE LIMIT: it is ordered to load more adapters than it has slots", en.ID)
		return http.StatusConflict
	}
	en.orders++
	if present == nil {
		present = &adapter{version: version}
		en.adapters[or.Adapter] = present
	}
	time.AfterFunc(en.op.AdapterTime, func() { en.finishLoad(or.Adapter, present, version) })
	return http.StatusAccepted
}

// finishLoad completes the load of an adapter once no request uses an older version.
func (en *Engine) finishLoad(name string, ad *adapter, version int) {
	en.emu.Lock()
	defer en.emu.Unlock()
	if en.adapters[name] != ad {
		return
	}
	if ad.users > 0 {
		time.AfterFunc(pollPeriod, func() { en.finishLoad(name, ad, version) })
		return
	}
	ad.version, ad.loaded = version, true
}

// unloadAdapter drops an idle adapter at once and another one after its requests. The lock must be held.
func (en *Engine) unloadAdapter(name string) int {
	ad := en.adapters[name]
	if ad == nil {
		return http.StatusOK
	}
	en.orders++
	if ad.users == 0 {
		delete(en.adapters, name)
		return http.StatusOK
	}
	en.unloading = true
	en.finishUnload(name, ad)
	return http.StatusAccepted
}

// finishUnload drops an adapter once no request uses it. The lock must be held.
func (en *Engine) finishUnload(name string, ad *adapter) {
	if ad.users == 0 {
		delete(en.adapters, name)
		en.unloading = false
		return
	}
	time.AfterFunc(pollPeriod, func() {
		en.emu.Lock()
		defer en.emu.Unlock()
		en.finishUnload(name, ad)
	})
}

// serveRequest runs a request that is answered with a stream.
func (en *Engine) serveRequest(wr http.ResponseWriter, rq *http.Request) {
	if !en.expects(wr, rq) {
		return
	}
	model, name, _ := strings.Cut(rq.Header.Get("X-Bambooladder-Model"), "/")
	prompt, output, _ := strings.Cut(rq.Header.Get("X-Bambooladder-Token-Count"), ",")
	promptTokens, _ := strconv.Atoi(prompt) // no number counts as zero
	outputTokens, _ := strconv.Atoi(output)
	if status := en.admit(rq.Context(), model, name, rq.Header.Get("X-Bambooladder-Expect-Version"), promptTokens+outputTokens); status != http.StatusOK {
		if status == http.StatusServiceUnavailable {
			wr.Header().Set(headerNotRun, "1")
		}
		wr.Header().Set(headerRequestID, rq.Header.Get(headerRequestID))
		wr.Header().Set(headerInstance, en.ID)
		wr.WriteHeader(status)
		return
	}
	defer en.done(name, promptTokens+outputTokens)
	en.stream(wr, rq, name, outputTokens)
}

// admit waits for memory, and returns 200 once the request may run.
func (en *Engine) admit(ctx context.Context, model, name, expected string, tokens int) int {
	en.emu.Lock()
	defer en.emu.Unlock()
	if tokens > en.op.Memory {
		return http.StatusServiceUnavailable
	}
	en.waiting++
	defer func() { en.waiting-- }()
	for en.memoryUsed+tokens > en.op.Memory {
		freed := en.freed
		en.emu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
		}
		en.emu.Lock()
		if ctx.Err() != nil {
			return http.StatusServiceUnavailable
		}
	}
	ad := en.adapters[name]
	switch {
	case model != en.op.Model || !en.loaded:
		return http.StatusMisdirectedRequest
	case name != "" && (ad == nil || !ad.loaded || expected != "" && expected != strconv.Itoa(ad.version)):
		return http.StatusMisdirectedRequest
	case ad != nil:
		ad.users++
	}
	en.running++
	en.memoryUsed += tokens
	return http.StatusOK
}

// done frees what a request has taken.
func (en *Engine) done(name string, tokens int) {
	en.emu.Lock()
	defer en.emu.Unlock()
	if ad := en.adapters[name]; ad != nil {
		ad.users--
	}
	en.running--
	en.memoryUsed -= tokens
	close(en.freed)
	en.freed = make(chan struct{})
}

// versionOf returns the version of an adapter that the engine holds.
func (en *Engine) versionOf(name string) int {
	en.emu.Lock()
	defer en.emu.Unlock()
	if ad := en.adapters[name]; ad != nil {
		return ad.version
	}
	return 0
}

// stream writes the events of an answer.
func (en *Engine) stream(wr http.ResponseWriter, rq *http.Request, name string, outputTokens int) {
	version := strconv.Itoa(en.versionOf(name))
	en.arrived(rq, name+"@"+version)
	en.seal(wr, rq)
	wr.Header().Set(headerType, "text/event-stream")
	wr.Header().Set("X-Bambooladder-Weight-Versions", version)
	first, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id")) // none means from the start
	rc := http.NewResponseController(wr)
	for number := first + 1; number <= outputTokens/en.op.TokensPerEvent; number++ {
		select {
		case <-time.After(en.op.EventPeriod):
		case <-rq.Context().Done():
			en.re.Printf("%s drops %s after event %d: its connection has ended", en.ID, rq.Header.Get(headerRequestID), number-1)
			return
		}
		if _, err := fmt.Fprintf(wr, "id: %d\ndata: %s\n\n", number, name+"@"+version); err != nil || rc.Flush() != nil {
			return
		}
	}
	en.re.Printf("%s has answered %s", en.ID, rq.Header.Get(headerRequestID))
}
