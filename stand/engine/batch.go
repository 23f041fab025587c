package engine

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// Submission is a completion request as it enters the batch queue.
type Submission struct {
	// Request is the ID of the request, from RequestHeader.
	Request string
	// Handle is the handle under which the adapter was loaded.
	Handle     string
	PromptText string
	MaxTokens  int
	Priority   int
	// ResumeFrom is the number of answer tokens that another engine has already produced.
	ResumeFrom int
}

// batchRequest is a request that runs in the batch or waits for a place in it.
type batchRequest struct {
	requestID string
	handle    string
	// model is the adapter and its version, as in "adapter@1".
	model    string
	seed     uint64
	prompt   string
	priority int
	// produced is the number of answer tokens so far, including those that another engine produced.
	produced  int
	maxTokens int
	// prefillTime is added to the first decoding step of the request.
	prefillTime time.Duration
	tokens      chan string
	// complete is true if the request ran to its last token; done, if it ended in any way.
	complete bool
	done     bool
	started  time.Time
}

// vocabulary holds the words that answers are made of.
var vocabulary = strings.Fields("salt cure rest hang smoke grind chill shell liner heel arch instep warm mould press turn")

// tokenAt returns the answer token at an index. It depends only on the model, the prompt and the
// index, so that every engine produces the same answer.
func (br *batchRequest) tokenAt(index int) string {
	if index == 0 {
		return "[" + br.model + "]"
	}
	return " " + vocabulary[xxh3.HashString(strconv.FormatUint(br.seed, 16)+"/"+strconv.Itoa(index))%uint64(len(vocabulary))]
}

// answerSeed returns the seed from which the words of an answer are chosen.
func answerSeed(model, prompt string) uint64 {
	return xxh3.HashString(model + "\n" + prompt)
}

// ExpectedText returns the text that any engine answers a prompt with.
func ExpectedText(model, prompt string, tokens int) string {
	br := &batchRequest{model: model, seed: answerSeed(model, prompt)}
	text := strings.Builder{}
	for ix := range tokens {
		text.WriteString(br.tokenAt(ix))
	}
	return text.String()
}

// submit adds a request to the batch queue. A prompt that contains the crash word crashes the
// engine instead.
func (en *Engine) submit(su Submission) (*batchRequest, error) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if time.Now().Before(en.readyAt) {
		return nil, ErrDown
	}
	sl := en.slots[su.Handle]
	if sl == nil || !sl.ready {
		return nil, ErrNoHandle
	}
	if en.op.CrashWord != "" && strings.Contains(su.PromptText, en.op.CrashWord) {
		en.crash()
		return nil, errCrashed
	}
	model := sl.adapter + "@" + strconv.Itoa(sl.version)
	br := &batchRequest{
		requestID: su.Request, handle: su.Handle, model: model, prompt: su.PromptText, priority: su.Priority,
		seed: answerSeed(model, su.PromptText), produced: su.ResumeFrom, maxTokens: su.MaxTokens, started: time.Now(),
		tokens: make(chan string, su.MaxTokens+1),
	}
	br.prefillTime = time.Duration(en.cache.uncachedTokens(model, su.PromptText)) * en.op.PrefillPerToken
	en.waiting = append(en.waiting, br)
	en.wakeLoop()
	return br, nil
}

// cancel removes a request once its HTTP handler returns, for example because the client
// disconnected. It does nothing if the request has already ended.
func (en *Engine) cancel(br *batchRequest) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.removeRequest(br, false)
}

// CancelRequest cancels every request with an ID and returns how many there were.
func (en *Engine) CancelRequest(requestID string) int {
	en.mu.Lock()
	defer en.mu.Unlock()
	canceled := 0
	for _, br := range slices.Concat(en.running, en.waiting) {
		if br.requestID == requestID {
			en.removeRequest(br, false)
			canceled++
		}
	}
	return canceled
}

// removeRequest takes a request out of the batch or the queue and ends it.
func (en *Engine) removeRequest(br *batchRequest, complete bool) {
	en.running = slices.DeleteFunc(en.running, func(el *batchRequest) bool { return el == br })
	en.waiting = slices.DeleteFunc(en.waiting, func(el *batchRequest) bool { return el == br })
	en.endRequest(br, complete)
}

// endRequest closes a request's token channel and records the request as served. Only the first
// call for a request has an effect.
func (en *Engine) endRequest(br *batchRequest, complete bool) {
	if br.done {
		return
	}
	br.done = true
	br.complete = complete
	close(br.tokens)
	en.served = append(en.served, Served{
		Request: br.requestID, Model: br.model, Prompt: br.prompt, Tokens: br.produced, Complete: complete, Started: br.started,
	})
}

// wakeLoop wakes the batch loop if it is idle.
func (en *Engine) wakeLoop() {
	select {
	case en.wake <- struct{}{}:
	default:
	}
}

// Run executes decoding steps until the context is canceled.
func (en *Engine) Run(ctx context.Context) {
	for {
		stepTime, idle := en.startStep()
		if idle {
			select {
			case <-ctx.Done():
				return
			case <-en.wake:
			}
			continue
		}
		if stepTime > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(stepTime):
			}
		}
		en.emitTokens()
	}
}

// startStep fills the batch with waiting requests, highest priority first. It returns how long
// the decoding step takes, or true if the engine is frozen or has nothing to run.
func (en *Engine) startStep() (time.Duration, bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.frozen {
		return 0, true
	}
	prefillTime := time.Duration(0)
	for len(en.running) < en.op.BatchSize && len(en.waiting) > 0 {
		best := 0
		for ix, br := range en.waiting {
			if br.priority > en.waiting[best].priority {
				best = ix
			}
		}
		br := en.waiting[best]
		en.waiting = slices.Delete(en.waiting, best, best+1)
		en.running = append(en.running, br)
		en.cache.add(br.model, br.prompt)
		prefillTime += br.prefillTime
	}
	en.history.add(time.Now(), len(en.running), len(en.waiting))
	if len(en.running) == 0 {
		return 0, true
	}
	en.steps++
	en.filledPlaces += len(en.running)
	return en.op.StepTime + time.Duration(len(en.running))*en.op.StepTimePerRequest + prefillTime, false
}

// emitTokens gives each running request its next token and removes requests that are complete.
func (en *Engine) emitTokens() {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, br := range slices.Clone(en.running) {
		if br.produced < br.maxTokens {
			br.tokens <- br.tokenAt(br.produced)
			br.produced++
		}
		if br.produced >= br.maxTokens {
			en.removeRequest(br, true)
		}
	}
}
