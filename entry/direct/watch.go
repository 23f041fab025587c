package direct

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/entry/internal/pool"
)

// watchPeriod is how often a server is checked while it streams an answer.
const watchPeriod = 200 * time.Millisecond

// errServerSilent is the cancellation cause of an attempt whose server has stopped responding.
var errServerSilent = errors.New("direct: the server stopped responding; the stream resumes on another server")

// errStreamStalled is the cancellation cause of an attempt whose stream brings nothing although its server responds.
var errStreamStalled = errors.New("direct: the stream brings no events; it resumes on another server")

// watchServer returns a context that is canceled if the server of a resumable stream stops
// responding or the stream stalls, so that the stream can resume on another server.
func (rq *request) watchServer(ctx context.Context, at *attempt) (context.Context, func()) {
	if rq.route.Kind != paths.Stream || !rq.route.Resumable {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	limit := rq.connLimit()
	rq.progress.restart()
	timer := (*time.Timer)(nil)
	// The first check begins only once the timer is assigned.
	timer = time.AfterFunc(math.MaxInt64, func() {
		if rq.no.serverSilent(at.server) {
			rq.no.recordAbandoned(at.server)
			cancel(errServerSilent)
			return
		}
		if ctx.Err() != nil {
			return
		}
		if rq.progress.stalled(rq.goals(), time.Now()) {
			cancel(errStreamStalled)
			return
		}
		timer.Reset(watchPeriod)
		if rq.no.takeQuiet(at.server) {
			rq.no.askAlive(ctx, at, limit)
		}
	})
	timer.Reset(watchPeriod)
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// serverSilent reports whether a server with requests in flight has stopped responding.
func (no *Node) serverSilent(id string) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.fleet.Silent(id, time.Now())
}

// takeQuiet reports whether a server is to be asked for a sign of life now.
func (no *Node) takeQuiet(id string) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.fleet.TakeQuiet(id, time.Now())
}

// askAlive asks the server of an attempt for its report, which is a sign of life, on a connection other than the attempt's.
func (no *Node) askAlive(ctx context.Context, at *attempt, connLimit int) {
	start := time.Now()
	_, err := no.fetchRun(ctx, at.address, pool.Want{Limit: connLimit})
	if err == nil {
		no.recordActivity(at.server)
		return
	}
	no.logger.Info().Str("attempt", at.id).Str("server", at.server).Str("error", err.Error()).Dur("took", time.Since(start)).Msg("quiet_server_silent")
}

// recordAbandoned records that a request was canceled because its server stopped responding.
func (no *Node) recordAbandoned(id string) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.Abandoned(id, time.Now())
}

// recordUnanswered records that a server's agent has not answered a reservation sent at the
// given time.
func (no *Node) recordUnanswered(id string, since time.Time) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.AgentUnanswered(id, since, time.Now())
}

// recordActivity records a sign of life of a server: an event of its stream or a heartbeat of the
// agent on its host.
func (no *Node) recordActivity(id string) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.SeenAlive(id, time.Now())
}

// correctServerState updates the server's state after an answer which shows that the node's
// view of the server is wrong.
func (no *Node) correctServerState(at *attempt, kind AnswerKind, adapter string) {
	switch kind {
	case Replaced:
		no.removeReplaced(at)
	case Misdirected:
		no.mu.Lock()
		defer no.mu.Unlock()
		no.fleet.AdapterMissing(at.server, adapter)
	case Genuine, NotRun, Foreign:
	}
}

// removeReplaced drops a server at whose address another one answers. One that the record of the first hid can be chosen
// at once.
func (no *Node) removeReplaced(at *attempt) {
	no.logger.Info().Str("server", at.server).Str("address", at.address).Msg("server_replaced")
	known := false
	no.view.withRoster(func(ro *roster.Roster) { known = ro.RemoveReplaced(at.server) })
	no.feeds.followers[ServersTopic.String()].readSoon(time.Now())
	no.crashes.recordEnded(at.run(), evidenceReplaced)
	if known {
		no.syncServers(time.Now())
	}
}
