package direct

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/link"
	"github.com/bambooladder/bambooladder/core/wire"
)

// helloTimeout bounds the exchange of Hello and Welcome on a new connection.
const helloTimeout = 3 * time.Second

// serveLink accepts the connection of an entry node and passes its frames to the broker until the
// connection ends.
func (ag *agent) serveLink(wr http.ResponseWriter, rq *http.Request) {
	co, err := link.Accept(wr, rq)
	if err != nil {
		ag.lg.Warn().Str("error", err.Error()).Msg("link_refused")
		return
	}
	number := ag.accepted.Add(1)
	hello, err := ag.exchangeHello(co)
	if err != nil {
		co.ForceClose()
		ag.lg.Warn().Str("error", err.Error()).Msg("link_hello_failed")
		return
	}
	se := newSession(co, number, hello, &ag.op.Settings.Place)
	ag.lg.Info().Str("dependency", "entry").Str("entry", hello.Entry).Str("entry_boot", hello.EntryBoot).Msg("dependency_regained")
	ag.br.postEvent(ag.ctx, event{sessionOpened: se})
	err = co.Run(ag.ctx, &frameReceiver{ag: ag, se: se})
	se.fellSilent = errors.Is(err, link.ErrSilent)
	ag.br.postEvent(ag.ctx, event{sessionClosed: se})
	ag.lg.Info().Str("dependency", "entry").Str("entry", hello.Entry).Str("reason", err.Error()).Msg("dependency_lost")
}

// exchangeHello reads the entry node's Hello and answers it with the agent's Welcome.
func (ag *agent) exchangeHello(co *link.Conn) (*wire.Hello, error) {
	ctx, cancel := context.WithTimeout(ag.ctx, helloTimeout)
	defer cancel()
	place := ag.op.Settings.Place
	return co.Welcome(ctx, &wire.Welcome{
		Runner: place.Name, Boot: ag.br.boot, Zone: place.Zone, Region: place.Region, KeepsOrigins: true, KeepsVersions: true, KeepsQuotas: true,
		EnginePort: portOf(ag.op.Settings.BackendAddress),
	})
}

// portOf returns the port of an address, zero if it has none.
func portOf(address string) int {
	_, text, err := net.SplitHostPort(address)
	port, numberErr := strconv.ParseUint(text, 10, 16)
	if err != nil || numberErr != nil {
		return 0
	}
	return int(port)
}

// frameReceiver passes the frames of one connection to the broker.
type frameReceiver struct {
	ag *agent
	se *session
}

// HandleFrame queues a frame for the broker.
func (rc *frameReceiver) HandleFrame(fr *wire.Frame) {
	rc.ag.br.postEvent(rc.ag.ctx, event{frameReceived: &sessionFrame{se: rc.se, fr: fr}})
}

// HandleHeartbeat ignores the entry node's heartbeat, which carries nothing that this agent needs.
func (rc *frameReceiver) HandleHeartbeat(*wire.Heartbeat) {}

// Heartbeat returns the agent's heartbeat, which is empty.
func (rc *frameReceiver) Heartbeat() wire.Heartbeat { return wire.Heartbeat{} }
