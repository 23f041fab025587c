package caller

import (
	"net/http"

	"github.com/gin-gonic/gin"
)

// listedModel is one adapter in the format of the completions API.
type listedModel struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// modelList is a list of adapters in the format of the completions API.
type modelList struct {
	Object string        `json:"object"`
	Data   []listedModel `json:"data"`
}

// serveModels lists the adapters that the team may call.
func (ca *Caller) serveModels(gc *gin.Context) {
	own := tokenOwner(gc)
	list := modelList{Object: "list", Data: []listedModel{}}
	for _, name := range ca.op.Settings.View().Tree.Teams[own.Team].Adapters {
		list.Data = append(list.Data, listedModel{ID: name, Object: "model", OwnedBy: own.Team})
	}
	gc.JSON(http.StatusOK, list)
}
