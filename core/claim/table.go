package claim

import (
	"container/heap"
	"strings"

	"github.com/bambooladder/bambooladder/core/record"
)

// Holder is the claim that won a key and holds it.
type Holder struct {
	Claim record.Claim
	// ClaimedAt is the log time of the claim, in Unix milliseconds.
	ClaimedAt int64
	// Done is the record of the attempt's answer, nil until it is read from the stream.
	Done *record.Done
}

// Table holds the keys of one claim stream and the claims that won them. The zero value
// starts at offset zero.
type Table struct {
	holders map[string]*Holder
	expiry  expiryHeap
	next    int64
	logTime int64
	// truncated is true if the table starts after records that the log has deleted.
	truncated bool
	// firstLogTime is the log time of the first record of a truncated table.
	firstLogTime int64
}

// Effect describes what a record changed.
type Effect struct {
	// Won is the new holder if the record is a claim that won its key, or nil.
	Won *Holder
	// Lost is the claim in the record if it did not win its key, or nil.
	Lost *record.Claim
	// Reason is the error if Lost has a key that no claim can win, or nil if another
	// attempt holds the key.
	Reason error
	// Freed is true if the record released its key.
	Freed bool
}

// NewTable returns an empty table that reads from an offset. If the offset is above zero, the
// log has deleted the records before it.
func NewTable(offset int64) *Table {
	return &Table{next: offset, truncated: offset > 0}
}

// Next returns the offset of the next record to apply.
func (ta *Table) Next() int64 { return ta.next }

// LogTime returns the newest time of the records so far, in Unix milliseconds.
func (ta *Table) LogTime() int64 { return ta.logTime }

// Size returns the number of keys that are held.
func (ta *Table) Size() int { return len(ta.holders) }

// Holder returns the claim that holds a key, or nil.
func (ta *Table) Holder(key string) *Holder { return ta.holders[key] }

// Apply applies one record. It returns false and changes nothing if the offset of the
// record is not the next one.
func (ta *Table) Apply(lr record.LogRecord) (Effect, bool) {
	if lr.Offset != ta.next {
		return Effect{}, false
	}
	ta.next++
	ta.logTime = max(ta.logTime, lr.Time)
	if ta.truncated && ta.firstLogTime == 0 {
		ta.firstLogTime = ta.logTime
	}
	ta.removeExpired()
	env, err := record.Decode(lr.Data)
	if err != nil {
		return Effect{}, true
	}
	switch {
	case env.Claim != nil:
		return ta.applyClaim(env.Claim), true
	case env.Release != nil:
		return ta.applyRelease(env.Release), true
	case env.Done != nil:
		ta.applyDone(env.Done)
	}
	return Effect{}, true
}

// applyClaim makes a claim the holder of its key if the key is valid and not held.
func (ta *Table) applyClaim(cl *record.Claim) Effect {
	keyTime, err := KeyTime(callerKey(cl.Key))
	switch {
	case err != nil:
		return Effect{Lost: cl, Reason: err}
	case expired(keyTime, ta.logTime):
		return Effect{Lost: cl, Reason: expiredKeyError()}
	case tooFarAhead(keyTime, ta.logTime):
		return Effect{Lost: cl, Reason: futureKeyError()}
	case ta.holders[cl.Key] != nil:
		return Effect{Lost: cl}
	}
	if ta.holders == nil {
		ta.holders = map[string]*Holder{}
	}
	ho := &Holder{Claim: *cl, ClaimedAt: ta.logTime}
	ta.holders[cl.Key] = ho
	heap.Push(&ta.expiry, expiry{key: cl.Key, keyTime: keyTime})
	return Effect{Won: ho}
}

// applyRelease frees a key if the released attempt still holds it and has no answer.
func (ta *Table) applyRelease(re *record.Release) Effect {
	ho := ta.holders[re.Key]
	if ho == nil || ho.Claim.Attempt != re.Attempt || ho.Done != nil {
		return Effect{}
	}
	delete(ta.holders, re.Key)
	return Effect{Freed: true}
}

// applyDone stores the answer if its attempt holds the key and has no answer yet.
func (ta *Table) applyDone(do *record.Done) {
	ho := ta.holders[do.Key]
	if ho != nil && ho.Claim.Attempt == do.Attempt && ho.Done == nil {
		ho.Done = do
	}
}

// removeExpired deletes the keys that have expired, which no later claim can win.
func (ta *Table) removeExpired() {
	for len(ta.expiry) > 0 && expired(ta.expiry[0].keyTime, ta.logTime) {
		ex, _ := heap.Pop(&ta.expiry).(expiry)
		delete(ta.holders, ex.key)
	}
}

// hasAllClaims reports whether the table has applied every claim that a key with the given
// time can have: a claim that is more than MaxClockSkew older than its key's time does not win.
func (ta *Table) hasAllClaims(keyTime int64) bool {
	return !ta.truncated || ta.firstLogTime > 0 && keyTime-MaxClockSkew.Milliseconds() > ta.firstLogTime
}

// Key joins a team, a service and the caller's key into the key that is used in the stream.
func Key(team, service, key string) string {
	return team + "/" + service + "/" + key
}

// callerKey returns the caller's part of a key that is used in the stream.
func callerKey(key string) string {
	parts := strings.SplitN(key, "/", 3)
	return parts[len(parts)-1]
}

// expiry is a key with the time that it contains.
type expiry struct {
	key     string
	keyTime int64
}

// expiryHeap is a heap of keys with the oldest on top.
type expiryHeap []expiry

func (ex expiryHeap) Len() int             { return len(ex) }
func (ex expiryHeap) Less(aa, bb int) bool { return ex[aa].keyTime < ex[bb].keyTime }
func (ex expiryHeap) Swap(aa, bb int)      { ex[aa], ex[bb] = ex[bb], ex[aa] }

// Push appends an element, as heap.Interface requires.
func (ex *expiryHeap) Push(value any) {
	if el, ok := value.(expiry); ok {
		*ex = append(*ex, el)
	}
}

// Pop removes the last element, as heap.Interface requires.
func (ex *expiryHeap) Pop() any {
	old := *ex
	last := old[len(old)-1]
	*ex = old[:len(old)-1]
	return last
}
