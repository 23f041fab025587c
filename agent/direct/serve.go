package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/bambooladder/bambooladder/core/link"
	"github.com/bambooladder/bambooladder/core/wire"
)

const helloTimeout = 3 * time.Second

// serveLink carries one entry node's frames until the connection fails.
func (ag *agent) serveLink(wr http.ResponseWriter, rq *http.Request) {
	co, err := link.Accept(wr, rq)
	if err != nil {
		ag.lg.Warn().Str("error", err.Error()).Msg("link_refused")
		return
	}
	hello, err := ag.greet(co)
	if err != nil {
		co.ForceClose()
		ag.lg.Warn().Str("error", err.Error()).Msg("link_not_greeted")
		return
	}
	se := &session{co: co, name: hello.Entry + "/" + hello.EntryBoot, near: hello.Zone == ag.op.Settings.Place.Zone}
	ag.lg.Info().Str("dependency", "entry").Str("entry", hello.Entry).Str("entry_boot", hello.EntryBoot).Msg("dependency_regained")
	ag.br.post(ag.ctx, event{opened: se})
	err = co.Run(ag.ctx, &receiver{ag: ag, se: se})
	ag.br.post(ag.ctx, event{closed: se})
	ag.lg.Info().Str("dependency", "entry").Str("entry", hello.Entry).Str("reason", err.Error()).Msg("dependency_lost")
}

// greet exchanges the first frames.
func (ag *agent) greet(co *link.Conn) (*wire.Hello, error) {
	ctx, cancel := context.WithTimeout(ag.ctx, helloTimeout)
	defer cancel()
	place := ag.op.Settings.Place
	return co.Welcome(ctx, &wire.Welcome{Runner: place.Name, Boot: ag.br.boot, Zone: place.Zone, Region: place.Region})
}

// receiver passes the frames of one connection to the broker.
type receiver struct {
	ag *agent
	se *session
}

// Frame takes one frame.
func (re *receiver) Frame(fr *wire.Frame) {
	re.ag.br.post(re.ag.ctx, event{frame: &sessionFrame{se: re.se, fr: fr}})
}

// Beat takes the entry node's heartbeat.
func (re *receiver) Beat(*wire.Heartbeat) {}

// Heartbeat returns the agent's heartbeat.
func (re *receiver) Heartbeat() wire.Heartbeat { return wire.Heartbeat{} }
