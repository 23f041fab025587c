package conf

import (
	"slices"
	"strings"
	"time"
)

// urgencyLevels maps each urgency to its level; requests of a higher level run first.
var urgencyLevels = map[TeamUrgency]int{
	TeamUrgencyBackground: 0,
	TeamUrgencyStandard:   1,
	TeamUrgencyUrgent:     2,
}

// Level returns the level of the urgency; requests of a higher level run first. The order is
// opposite to that of Level in paths.Route.
func (tu TeamUrgency) Level() int {
	return urgencyLevels[tu]
}

// MayCallAdapter reports whether the team may call this version of the adapter.
func (te Team) MayCallAdapter(av AdapterVersion) bool {
	return slices.Contains(te.Adapters, av.String())
}

// MayCallService reports whether the team may call the plain service.
func (te Team) MayCallService(service string) bool {
	return slices.Contains(te.Services, service)
}

// Methods whose calls may be repeated if no entry in the service's settings matches them.
const (
	methodGet  = "GET"
	methodHead = "HEAD"
)

// MayRepeat reports whether a call of the service may run more than once. The entry for the method
// with the longest matching path prefix decides; without one, GET and HEAD may.
func (se Service) MayRepeat(method, path string) bool {
	repeatable := method == methodGet || method == methodHead
	longestPrefix := -1
	for _, ca := range se.Calls {
		if ca.Method == method && strings.HasPrefix(path, ca.Path) && len(ca.Path) > longestPrefix {
			longestPrefix = len(ca.Path)
			repeatable = ca.Repeatable
		}
	}
	return repeatable
}

// Defaults that apply until an operator sets the deployment subtree.
const (
	defaultStoreLoadsPerSecond = 2
	defaultStoreLoadsInFlight  = 8
	defaultRequestTimeoutMs    = 30_000
	defaultBodyBytes           = 1 << 20
	defaultRetryPercent        = 10
)

// DeploymentOrDefault returns the settings that apply to all teams, or the defaults if none are set.
func (tr Tree) DeploymentOrDefault() Deployment {
	if tr.Deployment != nil {
		return *tr.Deployment
	}
	return Deployment{
		StoreLoadsPerSecond: defaultStoreLoadsPerSecond,
		StoreLoadsInFlight:  defaultStoreLoadsInFlight,
		RequestTimeoutMs:    defaultRequestTimeoutMs,
		BodyBytes:           defaultBodyBytes,
		RetryPercent:        defaultRetryPercent,
	}
}

// RequestTimeout returns the timeout of a request for which the caller sets none.
func (de Deployment) RequestTimeout() time.Duration {
	return time.Duration(de.RequestTimeoutMs) * time.Millisecond
}
