package admin

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/bambooladder/bambooladder/core/admin"
	"github.com/bambooladder/bambooladder/core/record"
)

const (
	// PeerSettingsPath gives other entry nodes the settings, as CBOR.
	PeerSettingsPath = "/peer/settings"
	// PeerStatusPath gives other entry nodes this node's state, as JSON.
	PeerStatusPath = "/peer/status"
)

// serveStatus tells which settings are in force on which nodes.
func (ad *Admin) serveStatus(gc *gin.Context) {
	body := admin.Status{Nodes: append([]admin.Node{ad.node()}, ad.op.Nodes.Statuses(gc.Request.Context())...)}
	for _, no := range body.Nodes {
		body.Revision = max(body.Revision, no.Revision)
	}
	gc.JSON(http.StatusOK, body)
}

// node describes this node.
func (ad *Admin) node() admin.Node {
	no := admin.Node{
		Name: ad.op.Place.Name, Reachable: true, Ready: ad.op.Ready(),
		Revision: ad.op.Settings.View().State.Revision(), Runners: []admin.Runner{},
	}
	for _, ru := range ad.op.Fleet.Runners() {
		ar := admin.Runner{
			Name: ru.Name, Boot: ru.Boot, Leaving: ru.Leaving, Load: ru.Load(), Places: ru.Places, Adapters: []string{},
			LoadStallMs: ru.Usage.LoadStall.Milliseconds(), BatchFilledMs: ru.Usage.BatchFilled.Milliseconds(),
			BatchOfferedMs: ru.Usage.BatchOffered.Milliseconds(), Loads: ru.Usage.Loads,
		}
		for _, ho := range ru.AdapterSlots {
			ar.Adapters = append(ar.Adapters, ho.Adapter.String())
		}
		no.Runners = append(no.Runners, ar)
	}
	return no
}

// servePeerStatus describes this node to another one.
func (ad *Admin) servePeerStatus(gc *gin.Context) { gc.JSON(http.StatusOK, ad.node()) }

// servePeerSettings gives the whole state of the fold to another node.
func (ad *Admin) servePeerSettings(gc *gin.Context) {
	if !ad.op.Settings.Ready() {
		gc.Status(http.StatusServiceUnavailable)
		return
	}
	im := ad.op.Settings.View().State.Image()
	data, err := record.Encode(&record.Envelope{Image: &im})
	if err != nil {
		fail(gc, err)
		return
	}
	gc.Data(http.StatusOK, "application/cbor", data)
}
