package direct

import (
	"context"
	"net/http"

	"github.com/bambooladder/bambooladder/core/link"
	"github.com/bambooladder/bambooladder/core/wire"
)

// serve accepts a node that relies on this one and forwards reads to it until the connection ends.
func (fe *feeds) serve(wr http.ResponseWriter, rq *http.Request) {
	if fe.cannotRead() {
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	co, err := link.Accept(wr, rq)
	if err != nil {
		fe.no.logger.Warn().Str("error", err.Error()).Msg("link_refused")
		return
	}
	place := fe.no.options.Settings.Place
	helloCtx, cancelHello := context.WithTimeout(fe.no.ctx, dialTimeout)
	defer cancelHello()
	he, err := co.Welcome(helloCtx, &wire.Welcome{Runner: place.Name, Boot: fe.no.boot, Zone: place.Zone, Region: place.Region})
	if err != nil {
		co.ForceClose()
		fe.no.logger.Warn().Str("error", err.Error()).Msg("link_hello_failed")
		return
	}
	ctx, cancel := context.WithCancel(fe.no.ctx)
	defer cancel()
	fe.addSubscriber(co, cancel)
	fe.no.logger.Info().Str("subscriber", he.Entry).Str("entry_boot", he.EntryBoot).Msg("log_subscriber_added")
	err = co.Run(ctx, idleReceiver{})
	fe.removeSubscriber(co)
	fe.no.logger.Info().Str("subscriber", he.Entry).Str("reason", err.Error()).Msg("log_subscriber_lost")
}

// addSubscriber adds the connection of a node that relies on this one.
func (fe *feeds) addSubscriber(co *link.Conn, cancel context.CancelFunc) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fe.subscribers[co] = cancel
}

// removeSubscriber removes the connection of a node that relied on this one.
func (fe *feeds) removeSubscriber(co *link.Conn) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	delete(fe.subscribers, co)
}

// forward sends a read to all subscribers. A subscriber whose connection
// takes no more frames is disconnected, as it would not notice what it missed.
func (fe *feeds) forward(frame *wire.Frame) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	for co, cancel := range fe.subscribers {
		if !co.TrySend(frame) {
			fe.no.logger.Warn().Str("topic", frame.LogBatch.Topic).Msg("log_subscriber_slow")
			cancel()
		}
	}
}

// idleReceiver ignores the frames of a subscriber, which sends only heartbeats.
type idleReceiver struct{}

// HandleFrame ignores a frame.
func (idleReceiver) HandleFrame(*wire.Frame) {}

// HandleHeartbeat ignores a heartbeat.
func (idleReceiver) HandleHeartbeat(*wire.Heartbeat) {}

// Heartbeat returns the node's heartbeat, which carries no data.
func (idleReceiver) Heartbeat() wire.Heartbeat { return wire.Heartbeat{} }
