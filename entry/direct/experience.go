package direct

import (
	"time"

	"github.com/bambooladder/bambooladder/core/retry"
)

// done counts an attempt off.
func (no *Node) done(id string) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.Done(id)
}

// failed records a failure of a server.
func (no *Node) failed(id string) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.Failed(id, time.Now())
}

// unreachable records that a server did not take a connection.
func (no *Node) unreachable(id string) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.Unreachable(id, time.Now())
}

// succeeded records an answer and the time from the attempt's start to its first byte.
func (no *Node) succeeded(at *attempt, took time.Duration) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.Succeeded(at.server)
	no.fleet.Measured(at.server, took-at.grantTook, at.choice.Queue)
}

// countFirst counts a request of a service.
func (no *Node) countFirst(service string) {
	li := no.retryLimits()
	no.mu.Lock()
	defer no.mu.Unlock()
	no.window(service).First(li, time.Now())
}

// asked counts a request for an adapter and tells whether it is popular.
func (no *Node) asked(adapter string) bool {
	if adapter == "" {
		return false
	}
	shares := float64(no.agents.entries()) / float64(max(1, len(no.op.Settings.Regions)))
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.popular.Asked(adapter, shares, time.Now())
}

// takeRepeat tells whether a request of a service may be sent again, and counts it.
func (no *Node) takeRepeat(service string) bool {
	li := no.retryLimits()
	no.mu.Lock()
	defer no.mu.Unlock()
	allowed := no.window(service).Take(li, time.Now())
	if !allowed {
		metricFailures.Add("retry_budget", 1)
	}
	return allowed
}

// window returns the retry window of a service.
func (no *Node) window(service string) *retry.Window {
	wi := no.budgets[service]
	if wi == nil {
		wi = &retry.Window{}
		no.budgets[service] = wi
	}
	return wi
}

// retryLimits returns what all nodes together may send again; a part is kept back for
// nodes that do not know of each other yet.
func (no *Node) retryLimits() retry.Limits {
	const kept = 0.75
	se := &no.op.Settings
	return retry.Limits{
		Share: kept * se.RetryShare, Slack: kept * float64(se.RetrySlack),
		Period: time.Duration(se.RetryWindowMs) * time.Millisecond, Nodes: no.agents.entries(),
	}
}

// takes tells whether a server still takes requests.
func (no *Node) takes(id string) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	se, ok := no.fleet.Server(id)
	return ok && !se.Leaving
}
