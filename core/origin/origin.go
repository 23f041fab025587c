package origin

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// RetentionMax bounds the time that a record is kept.
	RetentionMax = 2 * time.Minute
	// returnTime is the time after the end of its deadline in which a caller may still take up a stream.
	returnTime = 10 * time.Second
)

// TellPeriod is how often an entry node tells agents the software versions of services.
const TellPeriod = 30 * time.Second

// Age returns an age that was sent in milliseconds, bounded to what matters.
func Age(millis int64) time.Duration {
	return time.Duration(min(max(0, millis), RetentionMax.Milliseconds())) * time.Millisecond
}

// Numbers of homes. A query goes to one more than a record, because two nodes may know different agents.
const (
	RecordHomes = 3
	QueryHomes  = RecordHomes + 1
)

// StreamKey identifies a stream by the ID of the request that brought its first event.
type StreamKey uint64

// KeyOf returns the key of the stream whose first event a request brought.
func KeyOf(requestID string) StreamKey { return StreamKey(xxh3.HashString(requestID)) }

// Origin is what began a stream.
type Origin struct {
	Service string
	// Software is the software version of the server that sent the first event, empty if it was not known.
	Software string
}

// Horizon returns how long ago a stream can have begun whose caller waits for a time from now on, and whose route
// allows requests to take as long as timeout.
func Horizon(callerWaits, timeout time.Duration) time.Duration {
	return Retention(max(callerWaits, timeout))
}

// Retention returns how long the record of a stream is kept whose caller waits for a time from now on.
func Retention(callerWaits time.Duration) time.Duration {
	return min(RetentionMax, max(0, callerWaits)+returnTime)
}

// Homes returns the first of the hosts of agents that keep the record of a stream, the best first. Nodes that
// know the same hosts choose the same ones, and one more or less changes few.
func Homes(key StreamKey, hosts []string, count int) []string {
	best := make([]scoredHost, 0, count+1)
	for _, host := range hosts {
		sh := scoredHost{host: host, score: xxh3.HashStringSeed(host, uint64(key))}
		ix, _ := slices.BinarySearchFunc(best, sh, scoredHost.compare)
		if ix == count {
			continue
		}
		best = slices.Insert(best, ix, sh)
		best = best[:min(count, len(best))]
	}
	homes := make([]string, 0, len(best))
	for _, sh := range best {
		homes = append(homes, sh.host)
	}
	return homes
}

// scoredHost is a host with its score for a stream.
type scoredHost struct {
	host  string
	score uint64
}

// compare orders hosts by falling score.
func (sh scoredHost) compare(other scoredHost) int {
	return cmp.Or(cmp.Compare(other.score, sh.score), cmp.Compare(sh.host, other.host))
}

// Verdict is at which servers a stream may go on.
type Verdict int

// Verdicts.
const (
	// GoesOn means that the stream may go on at servers of one software version.
	GoesOn Verdict = iota
	// Undecided means that it is not known which software version began the stream.
	Undecided
)

// Candidates are the software versions of a service that may have begun a stream.
type Candidates struct {
	Versions []string
	// Complete is true if no other version can have begun it.
	Complete bool
}

// Decide returns the software version at which a stream may go on. The origin, if known is true, is that of its
// record. Without a record, the stream goes on only where no more than one version can have begun it. Servers that
// state no version are all alike.
func Decide(or Origin, known bool, ca Candidates) (string, Verdict) {
	alike := len(ca.Versions) == 1 && ca.Versions[0] == ""
	switch {
	case known && or.Software != "":
		return or.Software, GoesOn
	case alike || known && len(ca.Versions) == 0:
		return "", GoesOn
	case len(ca.Versions) == 1 && !known && ca.Complete:
		return ca.Versions[0], GoesOn
	}
	return "", Undecided
}
