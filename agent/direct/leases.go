package direct

import (
	"context"
	"time"

	"github.com/bambooladder/bambooladder/core/poison"
	"github.com/bambooladder/bambooladder/core/wire"
)

// bucketIdleMax is how long the bucket of a server is kept after the last ask.
const bucketIdleMax = time.Minute

// answerLeaseQuery answers an entry node that asks whether it may send requests to a server with a limit.
func (br *Broker) answerLeaseQuery(ctx context.Context, se *session, la *wire.LeaseQuery, now time.Time) {
	run := poison.Run{Server: la.Server, Born: la.Born}
	bucket, known := br.buckets[run]
	if !known {
		br.removeIdleBuckets(now)
		br.lg.Info().Str("server", la.Server).Int64("born", la.Born).Float64("limit", la.PerSecond).Str("entry", se.name).Msg("limit_kept")
	}
	bucket, le := bucket.WithAsk(la.PerSecond, la.Count, now)
	br.buckets[run] = bucket
	br.lg.Debug().Str("attempt", la.Attempt).Str("server", la.Server).Float64("limit", la.PerSecond).Int("asked", la.Count).
		Int("count", le.Count).Dur("wait", le.Wait).Msg("lease_answered")
	br.send(ctx, se.name, &wire.Frame{LeaseAnswer: &wire.LeaseAnswer{Attempt: la.Attempt, Count: le.Count, Wait: le.Wait.Milliseconds()}})
}

// removeIdleBuckets forgets the servers for which nobody has asked for a while.
func (br *Broker) removeIdleBuckets(now time.Time) {
	for run, bucket := range br.buckets {
		if now.Sub(bucket.FilledAt()) > bucketIdleMax {
			delete(br.buckets, run)
		}
	}
}
