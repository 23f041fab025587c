package paths

import (
	"strings"
	"time"
)

// Kind states whether the requests of a route may run more than once.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may be run again after any failure, as far as the limits of attempts, retries
	// and time allow.
	Safe
	// Stream requests are answered with a stream of events. They run at most once, unless
	// the route is resumable.
	Stream
)

var kindNames = [...]string{"unsafe", "safe", "stream"}

// String returns the name of the kind in log lines.
func (ki Kind) String() string { return kindNames[ki] }

// Split gives a service a share of a route's requests, in proportion to its weight.
type Split struct {
	Service string
	Weight  int
}

// Route states how requests to Host are handled if their path begins with Prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum wait for an answer, zero for no maximum.
	Timeout time.Duration
	// Target is the intended latency of an answer, or of the first event of a stream.
	Target time.Duration
	// PauseMax is the longest pause between events that callers accept, zero for no limit.
	PauseMax time.Duration
	// Rank orders routes by urgency, zero being the most urgent.
	Rank int
	// AttemptsMax is the maximum number of attempts of one request that may have run.
	AttemptsMax int
	// Resumable streams may be continued by another backend server after the last event
	// that was delivered.
	Resumable bool
	// Anonymous is true if requests need no key of an organisation.
	Anonymous bool
	Splits    []Split
}

// Repeatable reports whether a request may run more than once.
func (ro *Route) Repeatable() bool {
	return ro.Kind == Safe || ro.Kind == Stream && ro.Resumable
}

// Service picks one of the services by weight, given a random number from 0 to 1. It
// returns the last service if no weight is positive, and "" if the route has no service.
func (ro *Route) Service(random float64) string {
	totalWeight := 0
	for _, sp := range ro.Splits {
		totalWeight += max(0, sp.Weight)
	}
	remaining := random * float64(totalWeight)
	for _, sp := range ro.Splits {
		remaining -= float64(max(0, sp.Weight))
		if remaining < 0 {
			return sp.Service
		}
	}
	if len(ro.Splits) == 0 {
		return ""
	}
	return ro.Splits[len(ro.Splits)-1].Service
}

// Model is a base model that the engines of a service can load.
type Model struct {
	Name string
	// Adapters is the number of adapters of the model.
	Adapters int
}

// Service is a group of interchangeable backend servers: engines or the servers of a plain service.
type Service struct {
	Name string
	// ConnsMax is the maximum number of connections to one backend server, counted over
	// all callers, zero for no maximum.
	ConnsMax int
	// Engine is true if the backend servers are model engines.
	Engine bool
	Models []Model
	// AdapterSlots is the number of adapters that an engine can have loaded.
	AdapterSlots int
	// MemoryTokens is the capacity of an engine's memory for prompts and answers, in tokens.
	MemoryTokens int
	// Places is the number of requests that an engine runs at the same time.
	Places int
}

// Limits are the maximum sizes and durations of what a caller sends.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one accepted version of all routes and services.
type Table struct {
	Version  int64
	Limits   Limits
	Routes   []Route
	Services map[string]Service
	// Organisations holds those whose callers send a key. Without any, no request needs one.
	Organisations []Organisation
	// index holds the routes by host and prefix. It is nil until Build is called.
	index map[string]map[string]*Route
	// holders holds the organisations by the digests of their keys, nil until Build is called.
	holders map[Digest]*Organisation
	// organisationRankMax and routeRankMax are the highest ranks of the organisations and the routes.
	organisationRankMax, routeRankMax int
}

// Build creates the indexes that Match and OrganisationOf need and returns the table itself.
func (ta *Table) Build() *Table {
	ta.buildOrganisations()
	ta.index = map[string]map[string]*Route{}
	for ix := range ta.Routes {
		ro := &ta.Routes[ix]
		byPrefix := ta.index[ro.Host]
		if byPrefix == nil {
			byPrefix = map[string]*Route{}
			ta.index[ro.Host] = byPrefix
		}
		byPrefix[ro.Prefix] = ro
	}
	return ta
}

// Match returns the route of the host whose Prefix is the longest that the path begins with. The
// path /aa does not begin with /aa/.
func (ta *Table) Match(host, path string) (*Route, bool) {
	byPrefix := ta.index[hostName(host)]
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil, false
		}
		if ro := byPrefix[path[:slash+1]]; ro != nil {
			return ro, true
		}
		end = slash
	}
	return nil, false
}

// hostName returns the host name in lower case, without the port.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
