package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// BootHeader carries the engine's boot in every answer.
	BootHeader = "X-Engine-Boot"
	// RequestHeader names the request.
	RequestHeader = "X-Request-Id"
	// PriorityHeader carries the request's priority; higher runs first.
	PriorityHeader = "X-Priority"

	defaultTokens = 16
	tokensMax     = 1 << 16
	bodyMax       = 16 << 20
	lostPark      = time.Hour
)

// order is the body of a load or unload order.
type order struct {
	Handle  string `json:"handle"`
	Adapter string `json:"adapter"`
	Version int    `json:"version"`
	Fence   uint64 `json:"fence"`
}

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion is the body of a completion request.
type completion struct {
	Model        string    `json:"model"`
	Messages     []message `json:"messages"`
	Prompt       string    `json:"prompt"`
	MaxTokens    int       `json:"max_tokens"`
	Stream       bool      `json:"stream"`
	ResumeTokens int       `json:"resume_tokens"`
}

// Handler returns the engine's HTTP interface.
func (en *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(wr http.ResponseWriter, rq *http.Request) { en.serveCompletion(wr, rq, true) })
	mux.HandleFunc("POST /v1/completions", func(wr http.ResponseWriter, rq *http.Request) { en.serveCompletion(wr, rq, false) })
	mux.HandleFunc("POST /adapters/load", en.serveLoad)
	mux.HandleFunc("POST /adapters/unload", en.serveUnload)
	mux.HandleFunc("GET /adapters", en.serveInventory)
	mux.HandleFunc("GET /load", func(wr http.ResponseWriter, _ *http.Request) { reply(wr, en.ReportedLoad()) })
	mux.HandleFunc("GET /cache_events", func(wr http.ResponseWriter, rq *http.Request) {
		after, _ := strconv.Atoi(rq.FormValue("after"))
		reply(wr, en.CacheEvents(after))
	})
	mux.HandleFunc("POST /cancel/{request}", func(wr http.ResponseWriter, rq *http.Request) {
		reply(wr, en.CancelRequest(rq.PathValue("request")))
	})
	mux.HandleFunc("POST /kv/export", en.serveExport)
	mux.HandleFunc("POST /kv/import", en.serveImport)
	mux.HandleFunc("PUT /crash", func(http.ResponseWriter, *http.Request) { en.Crash() })
	mux.HandleFunc("GET /violations", func(wr http.ResponseWriter, _ *http.Request) { reply(wr, en.Violations()) })
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		wr.Header().Set(BootHeader, en.Boot())
		mux.ServeHTTP(wr, rq)
	})
}

// serveLoad handles a load order.
func (en *Engine) serveLoad(wr http.ResponseWriter, rq *http.Request) {
	en.serveOrder(wr, rq, func(or order) error {
		return en.Load(rq.Context(), or.Handle, or.Adapter, or.Version, or.Fence)
	})
}

// serveUnload handles an unload order.
func (en *Engine) serveUnload(wr http.ResponseWriter, rq *http.Request) {
	en.serveOrder(wr, rq, func(or order) error { return en.Unload(or.Handle, or.Fence) })
}

// serveOrder reads an order, shows the faults that are switched on and answers.
func (en *Engine) serveOrder(wr http.ResponseWriter, rq *http.Request, carry func(or order) error) {
	or := order{}
	if err := json.NewDecoder(http.MaxBytesReader(wr, rq.Body, bodyMax)).Decode(&or); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	en.mu.Lock()
	delay, lose := en.orderDelay, en.loseOrders
	en.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	err := carry(or)
	if lose {
		select {
		case <-time.After(lostPark):
		case <-rq.Context().Done():
		}
		return
	}
	if err != nil {
		fail(wr, err)
		return
	}
	reply(wr, or)
}

// serveInventory tells what the engine holds.
func (en *Engine) serveInventory(wr http.ResponseWriter, _ *http.Request) {
	iv, err := en.Inventory()
	if err != nil {
		fail(wr, err)
		return
	}
	reply(wr, iv)
}

// kvRequest names a prompt or carries blocks.
type kvRequest struct {
	Model  string   `json:"model"`
	Prompt string   `json:"prompt"`
	Blocks []uint64 `json:"blocks"`
}

// serveExport answers with the cached blocks of a prompt.
func (en *Engine) serveExport(wr http.ResponseWriter, rq *http.Request) {
	kr := kvRequest{}
	if err := json.NewDecoder(rq.Body).Decode(&kr); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	reply(wr, kvRequest{Model: kr.Model, Blocks: en.ExportKV(kr.Model, kr.Prompt)})
}

// serveImport takes cached blocks of another engine.
func (en *Engine) serveImport(wr http.ResponseWriter, rq *http.Request) {
	kr := kvRequest{}
	if err := json.NewDecoder(rq.Body).Decode(&kr); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	en.ImportKV(kr.Blocks)
}

// serveCompletion runs a request and answers plain or as a stream.
func (en *Engine) serveCompletion(wr http.ResponseWriter, rq *http.Request, chat bool) {
	co := completion{}
	if err := json.NewDecoder(http.MaxBytesReader(wr, rq.Body, bodyMax)).Decode(&co); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	priority, _ := strconv.Atoi(rq.Header.Get(PriorityHeader))
	sq, err := en.submit(Prompt{
		Request: rq.Header.Get(RequestHeader), Handle: co.Model, Text: co.text(),
		Tokens: co.tokens(), Priority: priority, Resume: co.ResumeTokens,
	})
	if errors.Is(err, errCrashed) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		fail(wr, err)
		return
	}
	defer en.cancel(sq)
	an := answer{model: co.Model, chat: chat, id: "cmpl-" + rq.Header.Get(RequestHeader), created: time.Now().Unix()}
	if co.Stream {
		an.stream(wr, rq, sq)
		return
	}
	an.plain(wr, rq, sq)
}

// text joins the messages into a prompt.
func (co completion) text() string {
	parts := make([]string, 0, 1+len(co.Messages))
	parts = append(parts, co.Prompt)
	for _, me := range co.Messages {
		parts = append(parts, me.Content)
	}
	return strings.TrimSpace(strings.Join(parts, "\n"))
}

// tokens returns the length of the answer.
func (co completion) tokens() int {
	if co.MaxTokens <= 0 {
		return defaultTokens
	}
	return min(co.MaxTokens, tokensMax)
}

// fail answers with the status that fits an error.
func fail(wr http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, ErrStaleFence):
		status = http.StatusConflict
	case errors.Is(err, ErrNoSlot):
		status = http.StatusInsufficientStorage
	case errors.Is(err, ErrNoHandle):
		status = http.StatusNotFound
	case errors.Is(err, ErrStoreBusy):
		status = http.StatusTooManyRequests
	case errors.Is(err, ErrDown):
		status = http.StatusServiceUnavailable
	}
	http.Error(wr, err.Error(), status)
}

// reply answers with JSON.
func reply(wr http.ResponseWriter, value any) {
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(value)
}
