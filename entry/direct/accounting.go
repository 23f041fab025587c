package direct

import (
	"time"

	"github.com/bambooladder/bambooladder/core/retry"
)

// recordAttemptEnd removes an ended attempt from its server's count of requests in flight.
func (no *Node) recordAttemptEnd(id string) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.Done(id)
}

// recordUnsent records that an attempt that was counted for its server's limit was not sent.
func (no *Node) recordUnsent(id string) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.Unsent(id, time.Now())
}

// recordFailure records that a request to a server failed.
func (no *Node) recordFailure(id string) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.Failed(id, time.Now())
}

// recordUnreachable records that a connection to a server could not be opened.
func (no *Node) recordUnreachable(id string) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.Unreachable(id, time.Now())
}

// recordSuccess records an answer and its time to the first byte. The wait for the grant is
// not part of the server's speed.
func (no *Node) recordSuccess(at *attempt, took time.Duration) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fleet.Succeeded(at.server)
	no.fleet.MeasuredFirstByte(&at.choice, took-at.grantWait)
}

// countRequest counts a new request in the retry budget of its service.
func (no *Node) countRequest(service string) {
	li := no.retryLimits()
	no.mu.Lock()
	defer no.mu.Unlock()
	no.retryWindow(service).AddRequest(li, time.Now())
}

// countAdapterRequest counts a request for an adapter and reports whether the adapter is
// popular.
func (no *Node) countAdapterRequest(adapter string) bool {
	if adapter == "" {
		return false
	}
	nodesPerZone := float64(no.agents.entryCount()) / float64(max(1, len(no.options.Settings.Regions)))
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.popularity.CountRequest(adapter, nodesPerZone, time.Now())
}

// allowRetry reports whether the retry budget of a service allows another attempt, and counts
// it.
func (no *Node) allowRetry(service string) bool {
	li := no.retryLimits()
	no.mu.Lock()
	defer no.mu.Unlock()
	allowed := no.retryWindow(service).Take(li, time.Now())
	if !allowed {
		metricFailures.Add("retry_budget", 1)
	}
	return allowed
}

// retryWindow returns the window that counts the retries of a service.
func (no *Node) retryWindow(service string) *retry.Window {
	wi := no.retryWindows[service]
	if wi == nil {
		wi = &retry.Window{}
		no.retryWindows[service] = wi
	}
	return wi
}

// retryLimits returns the retry budget shared by all entry nodes. A quarter of it stays
// unused, as a reserve for nodes that do not know of each other yet.
func (no *Node) retryLimits() retry.Limits {
	const usableShare = 0.75
	se := &no.options.Settings
	return retry.Limits{
		Share: usableShare * se.RetryShare, Slack: usableShare * float64(se.RetrySlack),
		Period: time.Duration(se.RetryWindowMs) * time.Millisecond, Nodes: no.agents.entryCount(),
	}
}

// acceptsRequests reports whether a server is known and neither leaving nor paused.
func (no *Node) acceptsRequests(id string) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.fleet.Accepts(id, time.Now())
}

// isLeaving reports whether a server is unknown or leaving.
func (no *Node) isLeaving(id string) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.fleet.Leaving(id)
}
