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
	operatorKey = "operator"
	rootName    = "root"
)

// Settings holds the settings and takes changes.
type Settings interface {
	View() *config.View
	Ready() bool
	Propose(ctx context.Context, ch record.Change) (record.Outcome, error)
}

// Fleet gives the runners the node is connected to.
type Fleet interface {
	Runners() []route.Runner
}

// Nodes asks the other entry nodes for their state.
type Nodes interface {
	Statuses(ctx context.Context) []admin.Node
}

// Options builds the operators' interface.
type Options struct {
	Place conf.Place
	// RootHash is the SHA-256 of the token that may change all settings.
	RootHash string
	Settings Settings
	Fleet    Fleet
	Nodes    Nodes
	Ready    func() bool
	Logger   zerolog.Logger
}

// Admin serves the operators.
type Admin struct {
	op Options
}

// NewAdmin returns the operators' interface.
func NewAdmin(op Options) *Admin { return &Admin{op: op} }

// Handler returns the HTTP interface.
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

// operator is who sent a request.
type operator struct {
	name string
	// team is the subtree the operator may change, empty for all.
	team string
}

// authenticate finds the operator of the bearer token.
func (ad *Admin) authenticate(gc *gin.Context) {
	token, _ := strings.CutPrefix(gc.GetHeader("Authorization"), "Bearer ")
	if config.HashToken(token) == ad.op.RootHash {
		gc.Set(operatorKey, operator{name: rootName})
		return
	}
	ho, known := ad.op.Settings.View().TokenOwner(token)
	if !known || ho.Role != conf.TokenRoleOperator {
		fail(gc, fault.New(fault.Unauthorized, "the bearer token is not an operator's", "send Authorization: Bearer <token> of an operator"))
		return
	}
	gc.Set(operatorKey, operator{name: ho.Team + "/" + ho.Name, team: ho.Team})
}

// operatorOf returns the authenticated operator.
func operatorOf(gc *gin.Context) operator {
	op, _ := gc.MustGet(operatorKey).(operator)
	return op
}

// mayEdit tells whether the operator may change a path.
func (op operator) mayEdit(path string) bool {
	return op.team == "" || path == "teams/"+op.team
}

// fail answers with a typed error.
func fail(gc *gin.Context, err error) {
	fe := &fault.Error{}
	if !errors.As(err, &fe) {
		fe = fault.New(fault.Unavailable, err.Error(), "try again later")
	}
	gc.AbortWithStatusJSON(fe.Status(), admin.Failure{Kind: string(fe.Kind), Message: fe.Message, Remedy: fe.Remedy})
}
