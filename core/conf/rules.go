package conf

import (
	"slices"
	"strings"
	"time"
)

// urgencies orders the urgencies; higher runs first.
var urgencies = map[TeamUrgency]int{
	TeamUrgencyBackground: 0,
	TeamUrgencyStandard:   1,
	TeamUrgencyUrgent:     2,
}

// Rank returns the urgency as a number; higher runs first.
func (tu TeamUrgency) Rank() int {
	return urgencies[tu]
}

// MayCallAdapter tells whether the team may call the adapter and version.
func (te Team) MayCallAdapter(av AdapterVersion) bool {
	return slices.Contains(te.Adapters, av.String())
}

// MayCallService tells whether the team may call the plain service.
func (te Team) MayCallService(service string) bool {
	return slices.Contains(te.Services, service)
}

// Methods whose calls may be repeated where a service's settings are silent.
const (
	methodGet  = "GET"
	methodHead = "HEAD"
)

// MayRepeat tells whether a call of the service may run more than once; the longest matching path prefix decides.
func (se Service) MayRepeat(method, path string) bool {
	repeatable := method == methodGet || method == methodHead
	longest := -1
	for _, ca := range se.Calls {
		if ca.Method == method && strings.HasPrefix(path, ca.Path) && len(ca.Path) > longest {
			longest = len(ca.Path)
			repeatable = ca.Repeatable
		}
	}
	return repeatable
}

// Defaults in force until a deployment subtree is accepted.
const (
	defaultStoreLoadsPerSecond = 2
	defaultStoreLoadsInFlight  = 8
	defaultRequestTimeoutMs    = 30_000
	defaultBodyBytes           = 1 << 20
	defaultRetryPercent        = 10
)

// Shared returns the deployment's settings, or the defaults where none are accepted.
func (tr Tree) Shared() Deployment {
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

// RequestTimeout returns the time for an answer where the caller names none.
func (de Deployment) RequestTimeout() time.Duration {
	return time.Duration(de.RequestTimeoutMs) * time.Millisecond
}
