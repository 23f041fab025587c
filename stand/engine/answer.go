package engine

import (
	"encoding/json"
	"net/http"
	"strings"
)

// answerWriter writes the tokens of a request as a response of the completions API.
type answerWriter struct {
	model   string
	chat    bool
	id      string
	created int64
}

// choice is an entry of the choices in a completion response.
type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// usage holds the token counts of a completion response.
type usage struct {
	CompletionTokens int `json:"completion_tokens"`
	PromptTokens     int `json:"prompt_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// completionResponse is a whole completion response or one chunk of a streamed one.
type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// writeWhole sends the response once the last token is there. It aborts the connection if the
// engine ended the request early.
func (aw answerWriter) writeWhole(wr http.ResponseWriter, rq *http.Request, br *batchRequest) {
	text := strings.Builder{}
	answerTokens := 0
	for {
		select {
		case <-rq.Context().Done():
			return
		case token, ok := <-br.tokens:
			if ok {
				text.WriteString(token)
				answerTokens++
				continue
			}
		}
		break
	}
	if !br.complete {
		panic(http.ErrAbortHandler)
	}
	prompt := len(strings.Fields(br.prompt))
	cr := aw.completionResponse("", text.String(), "stop")
	cr.Usage = &usage{CompletionTokens: answerTokens, PromptTokens: prompt, TotalTokens: answerTokens + prompt}
	writeJSON(wr, cr)
}

// writeStream sends each token as a server-sent event. It aborts the connection if the engine
// ended the request early.
func (aw answerWriter) writeStream(wr http.ResponseWriter, rq *http.Request, br *batchRequest) {
	wr.Header().Set("Content-Type", "text/event-stream")
	wr.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(wr)
	_ = rc.Flush()
	for {
		select {
		case <-rq.Context().Done():
			return
		case token, ok := <-br.tokens:
			if ok {
				aw.writeEvent(wr, aw.completionResponse(".chunk", token, ""))
				_ = rc.Flush()
				continue
			}
		}
		break
	}
	if !br.complete {
		panic(http.ErrAbortHandler)
	}
	aw.writeEvent(wr, aw.completionResponse(".chunk", "", "stop"))
	_, _ = wr.Write([]byte("data: [DONE]\n\n"))
	_ = rc.Flush()
}

// writeEvent sends a response chunk as a server-sent event.
func (aw answerWriter) writeEvent(wr http.ResponseWriter, cr completionResponse) {
	data, _ := json.Marshal(cr)
	_, _ = wr.Write([]byte("data: "))
	_, _ = wr.Write(data)
	_, _ = wr.Write([]byte("\n\n"))
}

// completionResponse builds a whole response, or a chunk if the object suffix is not empty.
func (aw answerWriter) completionResponse(objectSuffix, text, finishReason string) completionResponse {
	ch := choice{}
	if finishReason != "" {
		ch.FinishReason = &finishReason
	}
	object := "text_completion"
	switch {
	case !aw.chat:
		ch.Text = &text
	case objectSuffix == "":
		object = "chat.completion"
		ch.Message = &message{Role: "assistant", Content: text}
	default:
		object = "chat.completion.chunk"
		ch.Delta = &message{Role: "assistant", Content: text}
	}
	return completionResponse{ID: aw.id, Object: object, Created: aw.created, Model: aw.model, Choices: []choice{ch}}
}
