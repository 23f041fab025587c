package admin

import (
	"encoding/json"
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/bambooladder/bambooladder/core/admin"
	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/record"
)

// maxChangeBytes is the maximum size of the body of a change.
const maxChangeBytes = 8 << 20

// serveSettings returns the accepted settings.
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

// serveChange proposes a change and returns its outcome.
func (ad *Admin) serveChange(gc *gin.Context) {
	op := operatorOf(gc)
	body := admin.Change{}
	dec := json.NewDecoder(http.MaxBytesReader(gc.Writer, gc.Request.Body, maxChangeBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil || body.ID == "" {
		abortWithError(gc, fault.New(fault.Invalid, "the change cannot be read", "send id and edits, see docs/OPERATORS.md"))
		return
	}
	ch := record.Change{ID: body.ID, Author: op.name, Edits: make([]record.Edit, 0, len(body.Edits))}
	for _, ed := range body.Edits {
		if !op.mayEdit(ed.Path) {
			abortWithError(gc, fault.New(fault.Forbidden, op.name+" may not change "+ed.Path, "ask an operator of that subtree"))
			return
		}
		edit := record.Edit{Path: ed.Path, Base: ed.Base, Body: ed.Body}
		if ed.Remove {
			edit.Body = nil
		}
		ch.Edits = append(ch.Edits, edit)
	}
	oc, err := ad.op.Settings.Propose(gc.Request.Context(), ch)
	if err != nil {
		abortWithError(gc, err)
		return
	}
	gc.JSON(httpStatus(oc.Kind), apiOutcome(oc))
}

// httpStatus returns the HTTP status for an outcome.
func httpStatus(kind record.OutcomeKind) int {
	switch kind {
	case record.OutcomeKindConflict:
		return http.StatusConflict
	case record.OutcomeKindInvalid:
		return http.StatusUnprocessableEntity
	case record.OutcomeKindAccepted:
	}
	return http.StatusOK
}

// apiOutcome returns an outcome in the format of the API.
func apiOutcome(oc record.Outcome) admin.Outcome {
	return admin.Outcome{
		Change: oc.Change, Author: oc.Author, Kind: string(oc.Kind), Revision: oc.Revision,
		Time: oc.Time, Detail: oc.Detail, Paths: oc.Paths,
	}
}

// serveHistory returns the outcomes of recent changes.
func (ad *Admin) serveHistory(gc *gin.Context) {
	body := admin.History{Outcomes: []admin.Outcome{}}
	for _, oc := range ad.op.Settings.View().State.Outcomes() {
		body.Outcomes = append(body.Outcomes, apiOutcome(oc))
	}
	gc.JSON(http.StatusOK, body)
}
