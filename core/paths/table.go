package paths

import (
	"strings"
	"time"
)

// Kind tells how often a route's requests may run.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run again after any failure.
	Safe
	// Stream requests are answered by events and run at most once, unless they resume.
	Stream
)

var kindNames = [...]string{"unsafe", "safe", "stream"}

// String returns the kind's name in logs.
func (ki Kind) String() string { return kindNames[ki] }

// Split is a service that takes a share of a route's requests.
type Split struct {
	Service string
	Weight  int
}

// Route tells how requests below a path prefix of a host are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the wait for an answer, zero for no bound.
	Timeout time.Duration
	// Target is the time within which an answer, or a stream's first event, is on time.
	Target time.Duration
	// PauseMax is the longest pause between events that callers bear, zero for any.
	PauseMax time.Duration
	// Rank orders routes by urgency; zero is the most urgent.
	Rank int
	// AttemptsMax bounds the backend servers that one request is sent to.
	AttemptsMax int
	// Resumable streams may go on at another backend server after their last event.
	Resumable bool
	Splits    []Split
}

// Repeatable tells whether a request may run more than once.
func (ro *Route) Repeatable() bool {
	return ro.Kind == Safe || ro.Kind == Stream && ro.Resumable
}

// Service returns the service for a random number from 0 to 1.
func (ro *Route) Service(random float64) string {
	total := 0
	for _, sp := range ro.Splits {
		total += max(0, sp.Weight)
	}
	left := random * float64(total)
	for _, sp := range ro.Splits {
		left -= float64(max(0, sp.Weight))
		if left < 0 {
			return sp.Service
		}
	}
	if len(ro.Splits) == 0 {
		return ""
	}
	return ro.Splits[len(ro.Splits)-1].Service
}

// Model is a base model that the engines of a service can hold.
type Model struct {
	Name     string
	Adapters int
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name string
	// ConnsMax bounds the connections of all callers to one backend server, zero for no bound.
	ConnsMax int
	// Engine is true where the backend servers are model engines.
	Engine bool
	Models []Model
	// AdapterSlots is the number of adapters an engine holds.
	AdapterSlots int
	// MemoryTokens is an engine's memory for prompts and answers, in tokens.
	MemoryTokens int
	// Places is the number of requests an engine runs together.
	Places int
}

// Limits bounds what a caller may send.
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
	// index finds a route by host and prefix; it is built on first use by Build.
	index map[string]map[string]*Route
}

// Build returns the table ready for Match.
func (ta *Table) Build() *Table {
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

// Match returns the route of the host with the longest prefix that begins the path.
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

// hostName returns a host without its port, in lower case.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
