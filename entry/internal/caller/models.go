package caller

import (
	"net/http"

	"github.com/gin-gonic/gin"
)

// modelEntry is one adapter in the form of the completions API.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// modelList is the list of adapters.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// serveModels lists the adapters that the team may call.
func (ca *Caller) serveModels(gc *gin.Context) {
	ho := holder(gc)
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range ca.op.Settings.View().Tree.Teams[ho.Team].Adapters {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: ho.Team})
	}
	gc.JSON(http.StatusOK, list)
}
