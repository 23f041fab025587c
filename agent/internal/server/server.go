package server

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/agent/internal/broker"
	"github.com/bambooladder/bambooladder/core/link"
	"github.com/bambooladder/bambooladder/core/wire"
)

const helloTimeout = 3 * time.Second

// Server serves entry nodes.
type Server struct {
	ctx context.Context
	br  *broker.Broker
	lg  zerolog.Logger
}

// NewServer returns a server whose connections live until the context ends.
func NewServer(ctx context.Context, br *broker.Broker, lg zerolog.Logger) *Server {
	return &Server{ctx: ctx, br: br, lg: lg}
}

// Handler returns the agent's HTTP interface.
func (sv *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+link.Path, sv.serveLink)
	mux.HandleFunc("GET /health", func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(http.StatusOK) })
	mux.Handle("GET /metrics", expvar.Handler())
	return mux
}

// serveLink carries one entry node's frames until the connection fails.
func (sv *Server) serveLink(wr http.ResponseWriter, rq *http.Request) {
	co, err := link.Accept(wr, rq)
	if err != nil {
		sv.lg.Warn().Str("error", err.Error()).Msg("link_refused")
		return
	}
	ctx, cancel := context.WithTimeout(sv.ctx, helloTimeout)
	defer cancel()
	hello, err := co.Welcome(ctx, sv.br.Welcome())
	if err != nil {
		co.ForceClose()
		sv.lg.Warn().Str("error", err.Error()).Msg("link_not_greeted")
		return
	}
	sv.lg.Info().Str("entry", hello.Entry).Str("entry_boot", hello.EntryBoot).Msg("link_opened")
	sv.br.SessionOpened(sv.ctx, co)
	err = co.Run(sv.ctx, &session{ctx: sv.ctx, br: sv.br, co: co})
	sv.br.SessionClosed(sv.ctx, co)
	sv.lg.Info().Str("entry", hello.Entry).Str("reason", err.Error()).Msg("link_closed")
}

// session passes the frames of one connection to the broker.
type session struct {
	ctx     context.Context
	br      *broker.Broker
	co      *link.Conn
	logTime int64
}

// Frame takes one frame.
func (se *session) Frame(fr *wire.Frame) { se.br.Frame(se.ctx, se.co, fr) }

// Beat takes the entry node's heartbeat.
func (se *session) Beat(he *wire.Heartbeat) {
	if he.LogTime > se.logTime {
		se.logTime = he.LogTime
		se.br.LogTime(se.ctx, he.LogTime)
	}
}

// Heartbeat returns the agent's heartbeat.
func (se *session) Heartbeat() wire.Heartbeat { return wire.Heartbeat{LogTime: se.logTime} }
