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
	// BootHeader carries the ID of the engine's current run in every response.
	BootHeader = "X-Engine-Boot"
	// SoftwareHeader carries the version of the engine's software in every response, if it has one.
	SoftwareHeader = "X-Engine-Software"
	// RequestHeader carries the ID of the request, for which an agent sends its attempt ID. Every response to a
	// request with an ID repeats it.
	RequestHeader = "X-Request-Id"
	// PriorityHeader carries the priority of the request; higher priorities run first.
	PriorityHeader = "X-Priority"

	// answerTokensDefault is the length of an answer if the request sets no max_tokens.
	answerTokensDefault = 16
	answerTokensMax     = 1 << 16
	bodyBytesMax        = 16 << 20
	// lostAnswerWait is how long a request that gets no answer is held open.
	lostAnswerWait = time.Hour
)

// order is the body of a load or unload order and of its answer.
type order struct {
	Handle  string `json:"handle"`
	Adapter string `json:"adapter"`
	Version int    `json:"version"`
	Fence   uint64 `json:"fence"`
}

// message is a chat message.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionRequest is the body of a completion request.
type completionRequest struct {
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
	mux.HandleFunc("GET /load", func(wr http.ResponseWriter, _ *http.Request) { writeJSON(wr, en.ReportedLoad()) })
	mux.HandleFunc("GET /cache_events", func(wr http.ResponseWriter, rq *http.Request) {
		after, _ := strconv.Atoi(rq.FormValue("after"))
		writeJSON(wr, en.CacheEvents(after))
	})
	mux.HandleFunc("POST /cancel/{request}", func(wr http.ResponseWriter, rq *http.Request) {
		writeJSON(wr, en.CancelRequest(rq.PathValue("request")))
	})
	mux.HandleFunc("POST /kv/export", en.serveExport)
	mux.HandleFunc("POST /kv/import", en.serveImport)
	mux.HandleFunc("PUT /crash", func(http.ResponseWriter, *http.Request) { en.Crash() })
	mux.HandleFunc("GET /violations", func(wr http.ResponseWriter, _ *http.Request) { writeJSON(wr, en.Violations()) })
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		wr.Header().Set(BootHeader, en.Boot())
		if id := rq.Header.Get(RequestHeader); id != "" {
			wr.Header().Set(RequestHeader, id)
		}
		if en.op.Software != "" {
			wr.Header().Set(SoftwareHeader, en.op.Software)
		}
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

// serveOrder decodes an order, applies the configured delay, executes the order and answers, or
// holds the answer back if answers are to be lost.
func (en *Engine) serveOrder(wr http.ResponseWriter, rq *http.Request, execute func(or order) error) {
	or := order{}
	if err := json.NewDecoder(http.MaxBytesReader(wr, rq.Body, bodyBytesMax)).Decode(&or); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	en.mu.Lock()
	delay, loseAnswer := en.orderDelay, en.loseOrderAnswers
	en.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	err := execute(or)
	if loseAnswer {
		select {
		case <-time.After(lostAnswerWait):
		case <-rq.Context().Done():
		}
		return
	}
	if err != nil {
		writeError(wr, err)
		return
	}
	writeJSON(wr, or)
}

// serveInventory answers with the adapters that the engine holds.
func (en *Engine) serveInventory(wr http.ResponseWriter, _ *http.Request) {
	iv, err := en.Inventory()
	if err != nil {
		writeError(wr, err)
		return
	}
	writeJSON(wr, iv)
}

// kvMessage is the body of a KV export request, its answer and a KV import request. An export
// request names the model and the prompt; the other two carry blocks.
type kvMessage struct {
	Model  string   `json:"model"`
	Prompt string   `json:"prompt"`
	Blocks []uint64 `json:"blocks"`
}

// serveExport handles a KV export request.
func (en *Engine) serveExport(wr http.ResponseWriter, rq *http.Request) {
	km := kvMessage{}
	if err := json.NewDecoder(rq.Body).Decode(&km); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(wr, kvMessage{Model: km.Model, Blocks: en.ExportKV(km.Model, km.Prompt)})
}

// serveImport handles a KV import request.
func (en *Engine) serveImport(wr http.ResponseWriter, rq *http.Request) {
	km := kvMessage{}
	if err := json.NewDecoder(rq.Body).Decode(&km); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	en.ImportKV(km.Blocks)
}

// serveCompletion runs a completion request and answers it whole or as a stream.
func (en *Engine) serveCompletion(wr http.ResponseWriter, rq *http.Request, chat bool) {
	cr := completionRequest{}
	if err := json.NewDecoder(http.MaxBytesReader(wr, rq.Body, bodyBytesMax)).Decode(&cr); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	priority, _ := strconv.Atoi(rq.Header.Get(PriorityHeader))
	br, err := en.submit(Submission{
		Request: rq.Header.Get(RequestHeader), Handle: cr.Model, PromptText: cr.promptText(),
		MaxTokens: cr.answerTokens(), Priority: priority, ResumeFrom: cr.ResumeTokens,
	})
	if errors.Is(err, errCrashed) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		writeError(wr, err)
		return
	}
	defer en.cancel(br)
	aw := answerWriter{model: cr.Model, chat: chat, id: "cmpl-" + rq.Header.Get(RequestHeader), created: time.Now().Unix()}
	if cr.Stream {
		aw.writeStream(wr, rq, br)
		return
	}
	aw.writeWhole(wr, rq, br)
}

// promptText joins the prompt and the chat messages into one text.
func (cr completionRequest) promptText() string {
	parts := make([]string, 0, 1+len(cr.Messages))
	parts = append(parts, cr.Prompt)
	for _, me := range cr.Messages {
		parts = append(parts, me.Content)
	}
	return strings.TrimSpace(strings.Join(parts, "\n"))
}

// answerTokens returns the number of tokens in the complete answer.
func (cr completionRequest) answerTokens() int {
	if cr.MaxTokens <= 0 {
		return answerTokensDefault
	}
	return min(cr.MaxTokens, answerTokensMax)
}

// writeError answers with the HTTP status for an error.
func writeError(wr http.ResponseWriter, err error) {
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

// writeJSON answers with a value as JSON.
func writeJSON(wr http.ResponseWriter, value any) {
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(value)
}
