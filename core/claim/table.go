package claim

import (
	"container/heap"
	"strings"

	"github.com/bambooladder/bambooladder/core/record"
)

// Holder is the claim that holds a key.
type Holder struct {
	Claim record.Claim
	// At is the log time of the claim, in Unix milliseconds.
	At int64
	// Done is the kept answer, nil until it is recorded.
	Done *record.Done
}

// Table is the fold of one claim stream; its zero value starts at offset zero.
type Table struct {
	holders map[string]*Holder
	expiry  expiries
	next    int64
	logTime int64
	// cut is true when records before the start have expired.
	cut bool
	// floor is the log time of the first record after the cut.
	floor int64
}

// Effect tells what a record changed.
type Effect struct {
	// Won is the holder that a claim in the record made, or nil.
	Won *Holder
	// Lost is the claim in the record that did not win, or nil.
	Lost *record.Claim
	// Reason is the error of a claim that no claim for its key can win, or nil where
	// another attempt holds the key.
	Reason error
	// Freed is true when the record released its key.
	Freed bool
}

// Start returns an empty table that folds from an offset; above zero, the records before it have expired.
func Start(offset int64) *Table {
	return &Table{next: offset, cut: offset > 0}
}

// Next returns the next offset to fold.
func (ta *Table) Next() int64 { return ta.next }

// LogTime returns the newest time read off the stream, in Unix milliseconds.
func (ta *Table) LogTime() int64 { return ta.logTime }

// Size returns the number of keys held.
func (ta *Table) Size() int { return len(ta.holders) }

// Holder returns the claim that holds a key, or nil.
func (ta *Table) Holder(key string) *Holder { return ta.holders[key] }

// Apply folds one record; a record out of order changes nothing and returns false.
func (ta *Table) Apply(en record.Entry) (Effect, bool) {
	if en.Offset != ta.next {
		return Effect{}, false
	}
	ta.next++
	ta.logTime = max(ta.logTime, en.Time)
	if ta.cut && ta.floor == 0 {
		ta.floor = ta.logTime
	}
	ta.prune()
	env, err := record.Decode(en.Data)
	if err != nil {
		return Effect{}, true
	}
	switch {
	case env.Claim != nil:
		return ta.claim(env.Claim), true
	case env.Release != nil:
		return ta.release(env.Release), true
	case env.Done != nil:
		ta.done(env.Done)
	}
	return Effect{}, true
}

// claim lets the first claim of a key win.
func (ta *Table) claim(cl *record.Claim) Effect {
	keyTime, err := KeyTime(bareKey(cl.Key))
	switch {
	case err != nil:
		return Effect{Lost: cl, Reason: err}
	case expired(keyTime, ta.logTime):
		return Effect{Lost: cl, Reason: expiredKey()}
	case early(keyTime, ta.logTime):
		return Effect{Lost: cl, Reason: earlyKey()}
	case ta.holders[cl.Key] != nil:
		return Effect{Lost: cl}
	}
	if ta.holders == nil {
		ta.holders = map[string]*Holder{}
	}
	ho := &Holder{Claim: *cl, At: ta.logTime}
	ta.holders[cl.Key] = ho
	heap.Push(&ta.expiry, expiry{key: cl.Key, keyTime: keyTime})
	return Effect{Won: ho}
}

// release frees a key if the released attempt still holds it and has no answer.
func (ta *Table) release(re *record.Release) Effect {
	ho := ta.holders[re.Key]
	if ho == nil || ho.Claim.Attempt != re.Attempt || ho.Done != nil {
		return Effect{}
	}
	delete(ta.holders, re.Key)
	return Effect{Freed: true}
}

// done keeps the answer of the attempt that holds the key.
func (ta *Table) done(do *record.Done) {
	ho := ta.holders[do.Key]
	if ho != nil && ho.Claim.Attempt == do.Attempt && ho.Done == nil {
		ho.Done = do
	}
}

// prune forgets keys that no later claim could win.
func (ta *Table) prune() {
	for len(ta.expiry) > 0 && expired(ta.expiry[0].keyTime, ta.logTime) {
		ex, _ := heap.Pop(&ta.expiry).(expiry)
		delete(ta.holders, ex.key)
	}
}

// covers tells whether every claim a key may have had was folded.
func (ta *Table) covers(keyTime int64) bool {
	return !ta.cut || ta.floor > 0 && keyTime-SkewMax.Milliseconds() > ta.floor
}

// Key joins team, service and the caller's key into the key of the stream.
func Key(team, service, key string) string {
	return team + "/" + service + "/" + key
}

// bareKey returns the caller's part of a key of the stream.
func bareKey(key string) string {
	parts := strings.SplitN(key, "/", 3)
	return parts[len(parts)-1]
}

// expiry is a key with the time it carries.
type expiry struct {
	key     string
	keyTime int64
}

// expiries is a heap of keys, the oldest first.
type expiries []expiry

func (ex expiries) Len() int             { return len(ex) }
func (ex expiries) Less(aa, bb int) bool { return ex[aa].keyTime < ex[bb].keyTime }
func (ex expiries) Swap(aa, bb int)      { ex[aa], ex[bb] = ex[bb], ex[aa] }

// Push adds an element for package heap.
func (ex *expiries) Push(value any) {
	if el, ok := value.(expiry); ok {
		*ex = append(*ex, el)
	}
}

// Pop removes the last element for package heap.
func (ex *expiries) Pop() any {
	old := *ex
	last := old[len(old)-1]
	*ex = old[:len(old)-1]
	return last
}
