package engine

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// Prompt is a request to the engine.
type Prompt struct {
	Request  string
	Handle   string
	Text     string
	Tokens   int
	Priority int
	// Resume is the number of tokens of the answer that were made elsewhere.
	Resume int
}

// sequence is a request in the batch or waiting for it.
type sequence struct {
	request  string
	handle   string
	model    string
	seed     uint64
	prompt   string
	priority int
	made     int
	wanted   int
	prefill  time.Duration
	tokens   chan string
	whole    bool
	done     bool
	started  time.Time
}

// words are the vocabulary of the answers.
var words = strings.Fields("salt cure rest hang smoke grind chill shell liner heel arch instep warm mould press turn")

// token returns one word of an answer; the same request gives the same words on every engine.
func (sq *sequence) token(index int) string {
	if index == 0 {
		return "[" + sq.model + "]"
	}
	return " " + words[xxh3.HashString(strconv.FormatUint(sq.seed, 16)+"/"+strconv.Itoa(index))%uint64(len(words))]
}

// seedOf returns the seed of the words of an answer.
func seedOf(model, prompt string) uint64 {
	return xxh3.HashString(model + "\n" + prompt)
}

// Expected returns the text that every engine answers a prompt with.
func Expected(model, prompt string, tokens int) string {
	sq := &sequence{model: model, seed: seedOf(model, prompt)}
	text := strings.Builder{}
	for ix := range tokens {
		text.WriteString(sq.token(ix))
	}
	return text.String()
}

// submit puts a request into the batch queue.
func (en *Engine) submit(pr Prompt) (*sequence, error) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if time.Now().Before(en.upAt) {
		return nil, ErrDown
	}
	lo := en.handles[pr.Handle]
	if lo == nil || !lo.ready {
		return nil, ErrNoHandle
	}
	if en.op.CrashWord != "" && strings.Contains(pr.Text, en.op.CrashWord) {
		en.crash()
		return nil, errCrashed
	}
	model := lo.adapter + "@" + strconv.Itoa(lo.version)
	sq := &sequence{
		request: pr.Request, handle: pr.Handle, model: model, prompt: pr.Text, priority: pr.Priority,
		seed: seedOf(model, pr.Text), made: pr.Resume, wanted: pr.Tokens, started: time.Now(),
		tokens: make(chan string, pr.Tokens+1),
	}
	sq.prefill = time.Duration(en.cache.miss(model, pr.Text)) * en.op.PrefillPerToken
	en.waiting = append(en.waiting, sq)
	en.signal()
	return sq, nil
}

// cancel drops a request whose caller went away.
func (en *Engine) cancel(sq *sequence) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.drop(sq, false)
}

// CancelRequest drops the requests of a name.
func (en *Engine) CancelRequest(request string) int {
	en.mu.Lock()
	defer en.mu.Unlock()
	count := 0
	for _, sq := range slices.Concat(en.running, en.waiting) {
		if sq.request == request {
			en.drop(sq, false)
			count++
		}
	}
	return count
}

// drop takes a request out of the batch.
func (en *Engine) drop(sq *sequence, whole bool) {
	en.running = slices.DeleteFunc(en.running, func(el *sequence) bool { return el == sq })
	en.waiting = slices.DeleteFunc(en.waiting, func(el *sequence) bool { return el == sq })
	en.finish(sq, whole)
}

// finish closes a request's answer.
func (en *Engine) finish(sq *sequence, whole bool) {
	if sq.done {
		return
	}
	sq.done = true
	sq.whole = whole
	close(sq.tokens)
	en.served = append(en.served, Served{
		Request: sq.request, Model: sq.model, Prompt: sq.prompt, Tokens: sq.made, Whole: whole, Started: sq.started,
	})
}

// signal wakes the batch loop.
func (en *Engine) signal() {
	select {
	case en.wake <- struct{}{}:
	default:
	}
}

// Run decodes until the context ends.
func (en *Engine) Run(ctx context.Context) {
	for {
		pause, idle := en.step()
		if idle {
			select {
			case <-ctx.Done():
				return
			case <-en.wake:
			}
			continue
		}
		if pause > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
		}
		en.emit()
	}
}

// step admits waiting requests by priority and returns the time of one decoding step.
func (en *Engine) step() (time.Duration, bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.frozen {
		return 0, true
	}
	prefill := time.Duration(0)
	for len(en.running) < en.op.Places && len(en.waiting) > 0 {
		best := 0
		for ix, sq := range en.waiting {
			if sq.priority > en.waiting[best].priority {
				best = ix
			}
		}
		sq := en.waiting[best]
		en.waiting = slices.Delete(en.waiting, best, best+1)
		en.running = append(en.running, sq)
		en.cache.add(sq.model, sq.prompt)
		prefill += sq.prefill
	}
	en.loads.add(time.Now(), len(en.running), len(en.waiting))
	if len(en.running) == 0 {
		return 0, true
	}
	en.steps++
	en.filled += len(en.running)
	return en.op.StepTime + time.Duration(len(en.running))*en.op.StepTimePerRequest + prefill, false
}

// emit gives each running request one token.
func (en *Engine) emit() {
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, sq := range slices.Clone(en.running) {
		if sq.made < sq.wanted {
			sq.tokens <- sq.token(sq.made)
			sq.made++
		}
		if sq.made >= sq.wanted {
			en.drop(sq, true)
		}
	}
}
