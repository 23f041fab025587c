package admin

import (
	"context"
	"expvar"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/admin"
	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/record"
	"github.com/bambooladder/bambooladder/core/route"
	"github.com/bambooladder/bambooladder/entry/internal/config"
)

const (
	// operatorKey is the key of the operator in a gin context.
	operatorKey = "operator"
	// rootName is the author of changes that are sent with the root token.
	rootName = "root"
)

// Settings provides the settings in force and proposes changes.
type Settings interface {
	// View returns the settings in force.
	View() *config.View
	// Ready reports whether the settings have been read.
	Ready() bool
	// Propose appends a change to the log and returns its outcome.
	Propose(ctx context.Context, ch record.Change) (record.Outcome, error)
}

// RunnerLister lists the runners that the node is connected to.
type RunnerLister interface {
	Runners() []route.Runner
}

// Nodes asks the other entry nodes for their status.
type Nodes interface {
	Statuses(ctx context.Context) []admin.Node
}

// Options configures an Admin.
type Options struct {
	Place conf.Place
	// RootTokenHash is the SHA-256, in hex, of the root token, which may change all settings.
	RootTokenHash string
	Settings      Settings
	RunnerLister  RunnerLister
	Nodes         Nodes
	// Ready reports whether the node accepts new requests.
	Ready  func() bool
	Logger zerolog.Logger
}

// Admin serves the HTTP API for operators.
type Admin struct {
	op Options
}

// NewAdmin returns the HTTP API for operators.
func NewAdmin(op Options) *Admin { return &Admin{op: op} }

// Handler returns the handler of all paths.
func (ad *Admin) Handler() http.Handler {
	en := gin.New()
	en.ContextWithFallback = true
	en.GET("/health", func(gc *gin.Context) { gc.Status(http.StatusOK) })
	en.GET("/metrics", gin.WrapH(expvar.Handler()))
	en.GET(PeerSettingsPath, ad.servePeerSettings)
	en.GET(PeerStatusPath, ad.servePeerStatus)
	auth := en.Group("/admin/v1", ad.authenticate)
	auth.GET("/settings", ad.serveSettings)
	auth.POST("/changes", ad.serveChange)
	auth.GET("/changes", ad.serveHistory)
	auth.GET("/status", ad.serveStatus)
	return en
}

// operator is the authenticated owner of a request's bearer token.
type operator struct {
	name string
	// team is the team whose subtree the operator may change, empty for all subtrees.
	team string
}

// authenticate finds the operator of the bearer token. It refuses the request if the token is not
// an operator's.
func (ad *Admin) authenticate(gc *gin.Context) {
	token, _ := strings.CutPrefix(gc.GetHeader("Authorization"), "Bearer ")
	if config.HashToken(token) == ad.op.RootTokenHash {
		gc.Set(operatorKey, operator{name: rootName})
		return
	}
	own, known := ad.op.Settings.View().TokenOwner(token)
	if !known || own.Role != conf.TokenRoleOperator {
		abortWithError(gc, fault.New(fault.Unauthorized, "the bearer token is not an operator's", "send Authorization: Bearer <token> of an operator"))
		return
	}
	gc.Set(operatorKey, operator{name: own.Team + "/" + own.Name, team: own.Team})
}

// operatorOf returns the authenticated operator.
func operatorOf(gc *gin.Context) operator {
	op, _ := gc.MustGet(operatorKey).(operator)
	return op
}

// mayEdit reports whether the operator may change the subtree at a path: any path with the root
// token, otherwise only teams/<team> for the operator's team.
func (op operator) mayEdit(path string) bool {
	return op.team == "" || path == "teams/"+op.team
}

// abortWithError answers the request with an error. An error that is not a *fault.Error is returned
// as unavailable.
func abortWithError(gc *gin.Context, err error) {
	fe := &fault.Error{}
	if !errors.As(err, &fe) {
		fe = fault.New(fault.Unavailable, err.Error(), "try again later")
	}
	gc.AbortWithStatusJSON(fe.Status(), admin.Failure{Kind: string(fe.Kind), Message: fe.Message, Remedy: fe.Remedy})
}
