package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/bambooladder/bambooladder/core/retry"
	"github.com/bambooladder/bambooladder/core/spread"
	"github.com/bambooladder/bambooladder/entry/internal/pool"
)

const (
	// runAnswerMax bounds the wait for a server that is asked which of its runs it is in.
	runAnswerMax = 400 * time.Millisecond
	// reportBytesMax limits a server's report, allReportBytesMax the memory of all that are being read.
	reportBytesMax    = 1 << 20
	allReportBytesMax = 16 << 20
	// reasonRunUnknown means that a stream did not go on at a server that may have started again since the node last heard of it.
	reasonRunUnknown = "run_unknown"
)

// confirmRun makes sure that the connection of an attempt that goes on with a stream leads to the run of the server that the
// node knows the software version of. The server may have started again where neither its agent nor the log tells the node.
func (rq *request) confirmRun(ctx context.Context, at *attempt) (result, bool) {
	if !rq.begun || !rq.no.origins.statesVersions(rq.service.Name, time.Now()) || rq.findRun(ctx, at) == at.born || rq.readRun(ctx, at) {
		return result{}, true
	}
	at.conn.PutBack()
	return result{outcome: retry.Unsent, reason: reasonRunUnknown}, false
}

// beganAtRun reports whether the attempt that brought the first event of a stream was surely sent to the run of the server that
// the node believes in. Servers without an agent are known by the log alone, which must not be lost.
func (rq *request) beganAtRun(ctx context.Context, at *attempt) bool {
	if !rq.no.origins.statesVersions(rq.service.Name, time.Now()) || rq.findRun(ctx, at) == at.born {
		return true
	}
	return at.choice.Reason == spread.PlainService && !rq.no.origins.logLost()
}

// findRun returns the start of the run that the connection of an attempt leads to, zero if that is not known. The agent that
// grants an attempt knows it; without a grant, the engine itself is asked. As a run ends all of its connections, one that is
// open leads to the run that answers later, or to none.
func (rq *request) findRun(ctx context.Context, at *attempt) int64 {
	switch {
	case at.conn.ServerRun != 0:
	case at.granted:
		if rq.no.runStartOf(at.server) == at.born {
			at.conn.ServerRun = at.born
		}
	case at.choice.Reason == spread.AgentUnavailable:
		at.conn.ServerRun = rq.askRun(ctx, at)
	}
	return at.conn.ServerRun
}

// readRun makes sure of the run by the server's record, which was written before any stream began there.
func (rq *request) readRun(ctx context.Context, at *attempt) bool {
	if at.conn.ServerRun != 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTime)
	defer cancel()
	if !rq.no.feeds.followers[ServersTopic.String()].catchUp(ctx, time.Now()) || rq.no.runStartOf(at.server) != at.born {
		return false
	}
	at.conn.ServerRun = at.born
	return true
}

// askRun asks the server of an attempt for the start of its run and records it. It returns zero if the server does not answer.
func (rq *request) askRun(ctx context.Context, at *attempt) int64 {
	metricRunsAsked.Add(1)
	start := time.Now()
	born, err := rq.no.fetchRun(ctx, at.address, rq.connWant())
	if err == nil {
		rq.no.mu.Lock()
		rq.no.fleet.RunAnswered(at.server, born)
		rq.no.mu.Unlock()
		rq.no.origins.recordRun(at.server, start)
	}
	rq.logAttempt(at, "server_run_asked").Int64("believed", at.born).Int64("born", born).AnErr("error", err).Dur("took", time.Since(start)).Send()
	return born
}

// fetchRun reads the start of its run from what the server at an address says of itself.
func (no *Node) fetchRun(ctx context.Context, address string, want pool.Want) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, runAnswerMax)
	defer cancel()
	co, err := no.pool.Get(ctx, address, want)
	if err != nil {
		return 0, err
	}
	pr := no.options.Protocol
	an, err := co.Do(ctx, &pool.Request{Method: http.MethodGet, Target: pr.ReportTarget(), Host: address, Header: http.Header{}},
		func(hd http.Header) bool { return pr.MatchesRequest(hd, &RequestInfo{}, co.Reused) })
	if err != nil {
		return 0, err
	}
	defer an.Close()
	report, err := no.reports.ReadAll(an.Body, reportBytesMax)
	if err != nil {
		return 0, err
	}
	return pr.ReportedRun(an.Status, report)
}
