package admin

import (
	"encoding/json"
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/bambooladder/bambooladder/core/admin"
	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/record"
)

const changeBytesMax = 8 << 20

// serveSettings shows the accepted settings.
func (ad *Admin) serveSettings(gc *gin.Context) {
	st := ad.op.Settings.View().State
	body := admin.Settings{Revision: st.Revision(), Subtrees: []admin.Subtree{}}
	for _, path := range st.Paths() {
		su, _ := st.Subtree(path)
		body.Subtrees = append(body.Subtrees, admin.Subtree{
			Path: path, Revision: su.Revision, Author: su.Author, Body: json.RawMessage(su.Body),
		})
	}
	gc.JSON(http.StatusOK, body)
}

// serveChange takes a change and answers once it was accepted or refused.
func (ad *Admin) serveChange(gc *gin.Context) {
	op := operatorOf(gc)
	body := admin.Change{}
	dec := json.NewDecoder(http.MaxBytesReader(gc.Writer, gc.Request.Body, changeBytesMax))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil || body.ID == "" {
		fail(gc, fault.New(fault.Invalid, "the change cannot be read", "send id and edits, see docs/OPERATORS.md"))
		return
	}
	ch := record.Change{ID: body.ID, Author: op.name, Edits: make([]record.Edit, 0, len(body.Edits))}
	for _, ed := range body.Edits {
		if !op.mayEdit(ed.Path) {
			fail(gc, fault.New(fault.Forbidden, op.name+" may not change "+ed.Path, "ask an operator of that subtree"))
			return
		}
		next := record.Edit{Path: ed.Path, Base: ed.Base, Body: ed.Body}
		if ed.Remove {
			next.Body = nil
		}
		ch.Edits = append(ch.Edits, next)
	}
	oc, err := ad.op.Settings.Propose(gc.Request.Context(), ch)
	if err != nil {
		fail(gc, err)
		return
	}
	gc.JSON(statusOf(oc.Kind), outcomeOf(oc))
}

// statusOf returns the HTTP status of an outcome.
func statusOf(kind record.OutcomeKind) int {
	switch kind {
	case record.OutcomeKindConflict:
		return http.StatusConflict
	case record.OutcomeKindInvalid:
		return http.StatusUnprocessableEntity
	case record.OutcomeKindAccepted:
	}
	return http.StatusOK
}

// outcomeOf renders an outcome.
func outcomeOf(oc record.Outcome) admin.Outcome {
	return admin.Outcome{
		Change: oc.Change, Author: oc.Author, Kind: string(oc.Kind), Revision: oc.Revision,
		Time: oc.Time, Detail: oc.Detail, Paths: oc.Paths,
	}
}

// serveHistory lists what became of recent changes.
func (ad *Admin) serveHistory(gc *gin.Context) {
	body := admin.History{Outcomes: []admin.Outcome{}}
	for _, oc := range ad.op.Settings.View().State.Outcomes() {
		body.Outcomes = append(body.Outcomes, outcomeOf(oc))
	}
	gc.JSON(http.StatusOK, body)
}
