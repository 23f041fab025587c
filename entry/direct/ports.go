package direct

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/roster"
)

// Call describes a caller's request, as read from its headers.
type Call struct {
	// ID identifies the request. A caller that retries sends a new ID.
	ID string
	// Wait is how long the caller waits for the answer, zero if it sets no limit.
	Wait time.Duration
	// Model is the base model, empty for a plain service.
	Model string
	// Adapter is empty for requests to the base model itself.
	Adapter      string
	PromptTokens int
	OutputTokens int
	// LastEvent is the ID of the last stream event that the caller has received, empty for
	// none.
	LastEvent string
}

// Sending holds what the entry node adds to a request that it forwards to a backend server.
type Sending struct {
	// Server is the ID of the only server that may run the request.
	Server string
	// Left is the time that the server has to answer.
	Left time.Duration
	// Version is the only adapter version that may answer, zero for any.
	Version int
	// Rank orders requests at an engine; zero is the most urgent.
	Rank int
	// LastEvent is the ID of the event after which the stream resumes, empty to start from the
	// beginning.
	LastEvent string
}

// Verdict classifies a backend server's answer.
type Verdict int

// Kinds of answers.
const (
	// Genuine is the expected server's own answer, successful or not.
	Genuine Verdict = iota
	// NotRun means that the server reports that it has not run the request.
	NotRun
	// Misdirected means that the server does not hold the adapter or its version and has not
	// run the request.
	Misdirected
	// Replaced means that another server now uses the address; it has not run the request.
	Replaced
	// Foreign means that the answer does not come from a working backend server; the request
	// may have run.
	Foreign
)

var verdictNames = [...]string{"genuine", "not_run", "misdirected", "replaced", "foreign"}

// String returns the name of the kind as it appears in logs.
func (ve Verdict) String() string { return verdictNames[ve] }

// Protocol translates between HTTP messages and the node's view of requests and answers.
type Protocol interface {
	// Call reads the description of a caller's request.
	Call(rq *http.Request) (Call, error)
	// Header returns the headers to send to a backend server with a caller's request.
	Header(caller http.Header, ca *Call, se *Sending) http.Header
	// Belongs reports whether an answer's headers belong to the given request.
	Belongs(hd http.Header, ca *Call) bool
	// Verdict classifies the answer to a request that was sent to the given server.
	Verdict(status int, hd http.Header, server string) Verdict
}

// Topic is one topic of the platform's log.
type Topic int

// Topics of the log.
const (
	// Operators holds the routes and the adapter versions.
	Operators Topic = iota
	// Servers holds the records of the backend servers.
	Servers
)

var topicNames = [...]string{"operators", "servers"}

// String returns the topic's name as it appears in logs.
func (to Topic) String() string { return topicNames[to] }

// AdapterVersion announces a new version of an adapter.
type AdapterVersion struct {
	Model   string
	Adapter string
	Version int
}

// Change is one record of the log; at most one of its fields besides Offset is set.
type Change struct {
	Offset  int64
	Table   *paths.Table
	Version *AdapterVersion
	Server  *roster.Server
	// Removed is the ID of a server whose record was deleted.
	Removed string
}

// Batch holds consecutive records of a topic.
type Batch struct {
	Changes []Change
	// End is the offset after the last record read.
	End int64
}

// ErrExpired means that the log no longer holds records from the given offset on; the caller
// must read the newest record of each key instead.
var ErrExpired = errors.New("direct: log records from the offset on have expired; read the newest record of each key")

// Source reads the platform's log.
type Source interface {
	// Newest reads the newest record of each key. Later changes follow from the end offset of
	// the batch.
	Newest(ctx context.Context, to Topic) (Batch, error)
	// After reads the records from an offset on, and waits for the first one if there is none
	// yet. It fails with ErrExpired if records from that offset on have been deleted.
	After(ctx context.Context, to Topic, from int64, wait time.Duration) (Batch, error)
}

// Network opens connections to other processes and listens for theirs.
type Network interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}
