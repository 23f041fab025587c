package admin

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/bambooladder/bambooladder/core/admin"
	"github.com/bambooladder/bambooladder/core/record"
)

const (
	// PeerSettingsPath is the path at which other entry nodes read this node's settings, in CBOR.
	// Package peers, which reads it, defines the same path.
	PeerSettingsPath = "/peer/settings"
	// PeerStatusPath is the path at which other entry nodes read this node's status, in JSON.
	// Package peers defines it as well.
	PeerStatusPath = "/peer/status"
)

// serveStatus returns the status of all entry nodes and the newest settings revision among them.
func (ad *Admin) serveStatus(gc *gin.Context) {
	body := admin.Status{Nodes: append([]admin.Node{ad.nodeStatus()}, ad.op.Nodes.Statuses(gc.Request.Context())...)}
	for _, no := range body.Nodes {
		body.Revision = max(body.Revision, no.Revision)
	}
	gc.JSON(http.StatusOK, body)
}

// nodeStatus returns the status of this node.
func (ad *Admin) nodeStatus() admin.Node {
	no := admin.Node{
		Name: ad.op.Place.Name, Reachable: true, Ready: ad.op.Ready(),
		Revision: ad.op.Settings.View().State.Revision(), Runners: []admin.Runner{},
	}
	for _, ru := range ad.op.RunnerLister.Runners() {
		ar := admin.Runner{
			Name: ru.Name, Boot: ru.Boot, Leaving: ru.Leaving, Load: ru.Load(), Places: ru.Places, Adapters: []string{},
			LoadStallMs: ru.Usage.LoadStall.Milliseconds(), BatchFilledMs: ru.Usage.BatchFilled.Milliseconds(),
			BatchOfferedMs: ru.Usage.BatchOffered.Milliseconds(), Loads: ru.Usage.Loads,
		}
		for _, sl := range ru.AdapterSlots {
			ar.Adapters = append(ar.Adapters, sl.Adapter.String())
		}
		no.Runners = append(no.Runners, ar)
	}
	return no
}

// servePeerStatus returns the status of this node to another entry node.
func (ad *Admin) servePeerStatus(gc *gin.Context) { gc.JSON(http.StatusOK, ad.nodeStatus()) }

// servePeerSettings returns the complete settings to another entry node, which continues reading
// the log after them.
func (ad *Admin) servePeerSettings(gc *gin.Context) {
	if !ad.op.Settings.Ready() {
		gc.Status(http.StatusServiceUnavailable)
		return
	}
	im := ad.op.Settings.View().State.Image()
	data, err := record.Encode(&record.Envelope{Image: &im})
	if err != nil {
		abortWithError(gc, err)
		return
	}
	gc.Data(http.StatusOK, "application/cbor", data)
}
