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

// helloTimeout bounds the exchange of Hello and Welcome on a new connection.
const helloTimeout = 3 * time.Second

// Server accepts the connections of entry nodes.
type Server struct {
	ctx context.Context
	br  *broker.Broker
	lg  zerolog.Logger
}

// NewServer returns a server whose connections are closed when the context is canceled.
func NewServer(ctx context.Context, br *broker.Broker, lg zerolog.Logger) *Server {
	return &Server{ctx: ctx, br: br, lg: lg}
}

// Handler returns the handler of the agent's HTTP paths.
func (sv *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+link.Path, sv.serveLink)
	mux.HandleFunc("GET /health", func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(http.StatusOK) })
	mux.Handle("GET /metrics", expvar.Handler())
	return mux
}

// serveLink accepts the connection of an entry node and passes its frames to the broker until the
// connection ends.
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
		sv.lg.Warn().Str("error", err.Error()).Msg("link_hello_failed")
		return
	}
	sv.lg.Info().Str("entry", hello.Entry).Str("entry_boot", hello.EntryBoot).Msg("link_opened")
	sv.br.SessionOpened(sv.ctx, co)
	err = co.Run(sv.ctx, &frameReceiver{ctx: sv.ctx, br: sv.br, co: co})
	sv.br.SessionClosed(sv.ctx, co)
	sv.lg.Info().Str("entry", hello.Entry).Str("reason", err.Error()).Msg("link_closed")
}

// frameReceiver passes the frames of one connection to the broker.
type frameReceiver struct {
	ctx context.Context
	br  *broker.Broker
	co  *link.Conn
	// logTime is the latest log time in the entry node's heartbeats, in Unix milliseconds: the time of
	// the newest log record that it has read.
	logTime int64
}

// HandleFrame queues a frame for the broker.
func (rc *frameReceiver) HandleFrame(fr *wire.Frame) { rc.br.HandleFrame(rc.ctx, rc.co, fr) }

// HandleHeartbeat passes the log time in the entry node's heartbeat to the broker if it has advanced.
func (rc *frameReceiver) HandleHeartbeat(he *wire.Heartbeat) {
	if he.LogTime > rc.logTime {
		rc.logTime = he.LogTime
		rc.br.LogTime(rc.ctx, he.LogTime)
	}
}

// Heartbeat returns the agent's heartbeat, with the latest log time that this entry node has sent.
func (rc *frameReceiver) Heartbeat() wire.Heartbeat { return wire.Heartbeat{LogTime: rc.logTime} }
