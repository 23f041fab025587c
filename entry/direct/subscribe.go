package direct

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/core/link"
	"github.com/bambooladder/bambooladder/core/wire"
)

// subscribe receives the reads of a node until the connection ends.
func (fe *feeds) subscribe(ctx context.Context, fd *feed) {
	err := fe.receive(ctx, fd)
	if ctx.Err() != nil {
		return
	}
	fe.mu.Lock()
	defer fe.mu.Unlock()
	fe.endFeed(fd, err.Error(), time.Now())
}

// receive connects to a node and handles the reads that it forwards.
func (fe *feeds) receive(ctx context.Context, fd *feed) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	co, _, err := link.Connect(dialCtx, fe.no.options.Network, fd.peer.Address, fe.no.hello())
	if err != nil {
		return err
	}
	return co.Run(ctx, &feedReceiver{fe: fe, fd: fd})
}

// feedReceiver handles the frames of a node that forwards its reads.
type feedReceiver struct {
	fe *feeds
	fd *feed
}

// HandleHeartbeat ignores the source's heartbeat: only forwarded reads show that it reads the log.
func (fr *feedReceiver) HandleHeartbeat(*wire.Heartbeat) {}

// Heartbeat returns the node's heartbeat, which carries no data.
func (fr *feedReceiver) Heartbeat() wire.Heartbeat { return wire.Heartbeat{} }

// HandleFrame applies a forwarded read.
func (fr *feedReceiver) HandleFrame(frame *wire.Frame) {
	lb := frame.LogBatch
	if lb == nil || fr.fe.followers[lb.Topic] == nil {
		fr.fe.no.logger.Warn().Str("source", fr.fd.peer.Name).Msg("frame_unknown")
		return
	}
	fr.fe.recordForward(fr.fd)
	if err := fr.fe.followers[lb.Topic].applyForwarded(lb); err != nil {
		fr.fe.no.logger.Warn().Str("source", fr.fd.peer.Name).Str("topic", lb.Topic).Str("error", err.Error()).Msg("forwarded_read_unreadable")
	}
}
