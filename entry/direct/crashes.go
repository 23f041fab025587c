package direct

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/poison"
	"github.com/bambooladder/bambooladder/core/roster"
	"github.com/bambooladder/bambooladder/core/wire"
	"github.com/bambooladder/bambooladder/entry/internal/pool"
)

// Evidence that a run of a server has ended, as logged.
const (
	evidenceRefused  = "connection_refused"
	evidenceStarted  = "later_run"
	evidenceReplaced = "address_reused"
)

// crashes keeps track of the requests that were in flight when servers crashed, and tells the other
// entry nodes of them.
type crashes struct {
	no *Node

	mu       sync.Mutex
	suspects poison.Suspects
	parts    poison.Parts
	// checking holds the runs that are being checked for whether they have ended.
	checking map[poison.Run]bool
	// waiting holds the attempts without a part of an answer whose prompts have parts.
	waiting map[*attempt]waitingAttempt
}

// newCrashes returns crashes that have seen none.
func newCrashes(no *Node) *crashes {
	return &crashes{no: no, checking: map[poison.Run]bool{}, waiting: map[*attempt]waitingAttempt{}}
}

// run returns the run of a server that an attempt was sent to.
func (at *attempt) run() poison.Run { return poison.Run{Server: at.server, Born: at.born} }

// recordLost records that an attempt got no complete answer from its server, and checks whether the
// server has crashed. It waits for the check if one more crash decides on the request, so that the
// request is not sent once more before that. A server that is leaving ends its run without a crash.
func (cr *crashes) recordLost(rq *request, at *attempt, reason string) {
	if cr.no.isLeaving(at.server) {
		return
	}
	cr.no.logger.Info().Str("request", rq.info.ID).Str("attempt", at.id).Str("server", at.server).Str("fingerprint", rq.fingerprint()).
		Int64("born", at.born).Strs("parts", rq.info.PromptParts).Int("events", rq.stream.count).Str("reason", reason).Msg("crash_suspected")
	lo := poison.Loss{Fingerprint: rq.fingerprint(), Parts: rq.suspectParts(at), At: time.Now()}
	cr.mu.Lock()
	crash, known := cr.suspects.Lost(lo, at.run(), at.address)
	check := !known && !cr.checking[at.run()]
	if check {
		cr.checking[at.run()] = true
	}
	decisive := cr.suspects.Crashes(rq.fingerprint()) == poison.SuspectCrashes-1
	cr.mu.Unlock()
	switch {
	case known:
		cr.share(crash, evidenceRefused)
	case check && decisive:
		cr.check(at.run(), at.address)
	case check:
		go cr.check(at.run(), at.address)
	}
}

// check finds out whether a run of a server has ended: a host on which nothing listens any more
// refuses connections.
func (cr *crashes) check(run poison.Run, address string) {
	ctx, cancel := context.WithTimeout(cr.no.ctx, connectTimeout)
	defer cancel()
	co, err := cr.no.pool.Get(ctx, address, pool.Want{})
	if err == nil {
		co.PutBack()
	}
	cr.mu.Lock()
	delete(cr.checking, run)
	cr.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		cr.recordEnded(run, evidenceRefused)
	}
}

// recordEnded records that a run of a server has ended.
func (cr *crashes) recordEnded(run poison.Run, evidence string) {
	cr.mu.Lock()
	crash, ok := cr.suspects.RunEnded(run, time.Now())
	cr.mu.Unlock()
	if ok {
		cr.share(crash, evidence)
	}
}

// recordStarted records that a run of a server serves at an address, empty if that is unknown.
func (cr *crashes) recordStarted(run poison.Run, address string) {
	cr.mu.Lock()
	list := cr.suspects.RunStarted(run, address, time.Now())
	cr.mu.Unlock()
	for _, crash := range list {
		cr.share(crash, evidenceStarted)
	}
}

// recordServers records the runs of all servers in the log.
func (cr *crashes) recordServers(servers []roster.Server) {
	for ix := range servers {
		se := &servers[ix]
		cr.recordStarted(poison.Run{Server: se.ID, Born: se.Born}, se.Address)
	}
}

// share logs a crash that this node has seen, reports it to the other entry nodes and counts it for the
// parts of prompts.
func (cr *crashes) share(crash poison.Crash, evidence string) {
	metricCrashes.Add(1)
	age := time.Since(crash.At)
	reported := cr.no.agents.shareReport(&wire.Frame{CrashReport: &wire.CrashReport{
		Server: crash.Run.Server, Born: crash.Run.Born, Age: age.Milliseconds(), Fingerprints: crash.Fingerprints, Parts: crash.Parts,
	}})
	cr.no.logger.Warn().Str("server", crash.Run.Server).Int64("born", crash.Run.Born).Str("evidence", evidence).Dur("age", age).
		Strs("fingerprints", crash.Fingerprints).Strs("parts", crash.Parts).Int("told", reported).Msg("server_crash_counted")
	cr.countForParts(crash)
}

// applyReport counts a crash that another entry node has seen.
func (cr *crashes) applyReport(re *wire.CrashReport) {
	now := time.Now()
	age := time.Duration(max(0, re.Age)) * time.Millisecond
	crash := poison.Crash{Run: poison.Run{Server: re.Server, Born: re.Born}, At: now.Add(-age), Fingerprints: re.Fingerprints, Parts: re.Parts}
	cr.mu.Lock()
	added := cr.suspects.Reported(crash, now)
	cr.mu.Unlock()
	if added == 0 {
		return
	}
	cr.no.logger.Info().Str("server", re.Server).Int64("born", re.Born).Dur("age", age).Int("added", added).
		Strs("fingerprints", re.Fingerprints).Strs("parts", crash.Parts).Msg("crash_report_applied")
	cr.countForParts(crash)
}

// recordAnswered records that a server has answered a request completely.
func (cr *crashes) recordAnswered(rq *request) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if cr.suspects.Len() > 0 && cr.suspects.Answered(rq.fingerprint()) {
		cr.no.logger.Info().Str("request", rq.info.ID).Str("fingerprint", rq.fingerprint()).Msg("crash_suspicion_dropped")
	}
}

// verdict returns an error if the request has been in flight at too many crashes to be sent again.
func (cr *crashes) verdict(rq *request) error {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if err := cr.partVerdict(rq); err != nil {
		return err
	}
	if cr.suspects.Len() == 0 {
		return nil
	}
	verdict, remaining := cr.suspects.Decide(rq.fingerprint(), time.Now())
	if verdict != poison.Blocked {
		return nil
	}
	return fault.New(fault.Quarantined, "backend servers crashed several times while they ran this request",
		"change the request, or send it again once it is forgotten").WithRetryAfter(remaining)
}
