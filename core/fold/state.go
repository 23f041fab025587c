package fold

import (
	"fmt"
	"maps"
	"slices"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/record"
)

// maxOutcomes is the number of the newest outcomes that a state keeps.
const maxOutcomes = 1024

// State is the accepted settings after all records below an offset. It is immutable. The zero
// value is the state before the first record.
type State struct {
	// subtrees holds the accepted subtrees by path. A removed one stays with an empty body.
	subtrees map[string]record.Subtree
	outcomes []record.Outcome
	tree     conf.Tree
	revision int64
	next     int64
	logTime  int64
}

// GapError reports a record whose offset does not follow that of the last applied record.
type GapError struct {
	Want int64
	Got  int64
}

// Error returns a message with both offsets and the remedy.
func (ge *GapError) Error() string {
	return fmt.Sprintf("fold: got record %d, want record %d; load a snapshot that covers the gap", ge.Got, ge.Want)
}

// Tree returns the accepted settings.
func (st State) Tree() conf.Tree { return st.tree }

// Revision returns one above the offset of the last accepted change, or zero.
func (st State) Revision() int64 { return st.revision }

// Next returns the offset of the next record to apply.
func (st State) Next() int64 { return st.next }

// LogTime returns the newest time of the records so far, in Unix milliseconds.
func (st State) LogTime() int64 { return st.logTime }

// Subtree returns the accepted subtree at a path. A removed subtree has an empty body and
// the revision of its removal.
func (st State) Subtree(path string) (record.Subtree, bool) {
	su, ok := st.subtrees[path]
	return su, ok
}

// Paths returns the sorted paths of the subtrees that exist.
func (st State) Paths() []string {
	paths := make([]string, 0, len(st.subtrees))
	for path, su := range st.subtrees {
		if len(su.Body) > 0 {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	return paths
}

// Outcomes returns the kept outcomes, oldest first.
func (st State) Outcomes() []record.Outcome { return slices.Clone(st.outcomes) }

// Outcome returns the kept outcome of the change with the given ID.
func (st State) Outcome(changeID string) (record.Outcome, bool) {
	for ix := len(st.outcomes) - 1; ix >= 0; ix-- {
		if st.outcomes[ix].Change == changeID {
			return st.outcomes[ix], true
		}
	}
	return record.Outcome{}, false
}

// WithRecord returns the state after a record and the outcome of the change in it. The
// outcome is nil if the record contains no change. A change whose outcome is still kept is not
// applied again and gets that outcome. The only possible error is a GapError.
func (st State) WithRecord(lr record.LogRecord) (State, *record.Outcome, error) {
	if lr.Offset != st.next {
		return st, nil, &GapError{Want: st.next, Got: lr.Offset}
	}
	st.next = lr.Offset + 1
	st.logTime = max(st.logTime, lr.Time)
	env, err := record.Decode(lr.Data)
	if err != nil || env.Change == nil || env.Change.ID == "" {
		return st, nil, nil
	}
	if oc, known := st.Outcome(env.Change.ID); known {
		return st, &oc, nil
	}
	oc := record.Outcome{
		Change: env.Change.ID, Author: env.Change.Author, Kind: record.OutcomeKindAccepted,
		Revision: lr.Offset + 1, Time: st.logTime, Paths: editPaths(env.Change.Edits),
	}
	next, kind, detail := st.withChange(env.Change, oc.Revision)
	oc.Kind = kind
	oc.Detail = detail
	return next.withOutcome(oc), &oc, nil
}

// editPaths returns the paths of the edits.
func editPaths(edits []record.Edit) []string {
	list := make([]string, 0, len(edits))
	for _, ed := range edits {
		list = append(list, ed.Path)
	}
	return list
}

// withOutcome returns the state with an outcome added, less the oldest outcomes beyond
// maxOutcomes.
func (st State) withOutcome(oc record.Outcome) State {
	start := 0
	if len(st.outcomes) >= maxOutcomes {
		start = len(st.outcomes) - maxOutcomes + 1
	}
	list := make([]record.Outcome, 0, len(st.outcomes)-start+1)
	list = append(list, st.outcomes[start:]...)
	list = append(list, oc)
	st.outcomes = list
	return st
}

// withChange returns the state after a change, which gets the given revision if it is
// accepted. Otherwise it returns the same state, the kind of rejection and the reason.
func (st State) withChange(ch *record.Change, revision int64) (State, record.OutcomeKind, string) {
	if len(ch.Edits) == 0 {
		return st, record.OutcomeKindInvalid, "the change edits nothing"
	}
	for _, ed := range ch.Edits {
		if su := st.subtrees[ed.Path]; su.Revision != ed.Base {
			return st, record.OutcomeKindConflict, conflictDetail(ed, su)
		}
	}
	next := st
	next.subtrees = maps.Clone(st.subtrees)
	if next.subtrees == nil {
		next.subtrees = map[string]record.Subtree{}
	}
	next.revision = revision
	for _, ed := range ch.Edits {
		var err error
		if next.tree, err = withSubtree(next.tree, ed.Path, ed.Body); err != nil {
			return st, record.OutcomeKindInvalid, err.Error()
		}
		next.subtrees[ed.Path] = record.Subtree{
			Path: ed.Path, Revision: revision, Author: ch.Author, Change: ch.ID, Body: ed.Body,
		}
	}
	if fi := next.tree.Check(); fi != nil {
		return st, record.OutcomeKindInvalid, fi.Error()
	}
	return next, record.OutcomeKindAccepted, ""
}

// conflictDetail returns a message that names the last change of the edit's path, on which the
// edit is not based, or says that the path does not exist if it was never set.
func conflictDetail(ed record.Edit, su record.Subtree) string {
	if su.Change == "" {
		return fmt.Sprintf("%s does not exist, but the change is based on revision %d; read it again", ed.Path, ed.Base)
	}
	return fmt.Sprintf("%s was changed by %s at revision %d (change %s), but the change is based on revision %d; read it again",
		ed.Path, su.Author, su.Revision, su.Change, ed.Base)
}
