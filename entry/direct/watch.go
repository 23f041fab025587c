package direct

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/roster"
)

// watchPeriod is the time between looks at a server with a stream under way.
const watchPeriod = 200 * time.Millisecond

// errServerSilent ends an attempt at a server that gives no sign of life.
var errServerSilent = errors.New("direct: the server gives no sign of life; the stream goes on at another")

// watch returns a context that ends early where the server of a stream that may go on
// elsewhere falls silent.
func (rq *request) watch(ctx context.Context, at *attempt) (context.Context, func()) {
	if rq.ro.Kind != paths.Stream || !rq.ro.Resumable {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := (*time.Timer)(nil)
	timer = time.AfterFunc(watchPeriod, func() {
		if rq.no.silent(at.server) {
			rq.no.abandoned(at.server)
			cancel(errServerSilent)
			return
		}
		if ctx.Err() == nil {
			timer.Reset(watchPeriod)
		}
	})
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// silent tells whether a server gives no sign of life.
func (no *Node) silent(id string) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.fleet.Silent(id, time.Now())
}

// abandoned records that a request was taken from a server without a sign of life.
func (no *Node) abandoned(id string) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.Abandoned(id, time.Now())
}

// unanswered records that an agent has not answered a reservation sent at a time.
func (no *Node) unanswered(id string, since time.Time) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.Unanswered(id, since, time.Now())
}

// heard records a sign of life of a server.
func (no *Node) heard(id string) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.Heard(id, time.Now())
}

// contradicted corrects what the node believed of a server that has not run a request.
func (no *Node) contradicted(at *attempt, ve Verdict, adapter string) {
	if ve == Replaced {
		no.be.roster(func(ro *roster.Roster) { ro.Forget(at.server) })
	}
	no.mu.Lock()
	defer no.mu.Unlock()
	switch ve {
	case Replaced:
		no.lg.Info().Str("server", at.server).Str("address", at.address).Msg("server_replaced")
		no.fleet.Remove(at.server)
	case Misdirected:
		no.fleet.Lacks(at.server, adapter)
	case Genuine, NotRun, Foreign:
	}
}
