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

// Call is what a caller's request says of itself.
type Call struct {
	// ID identifies the request; each retry of a caller has its own.
	ID string
	// Wait is how long the caller waits, zero where it does not say.
	Wait time.Duration
	// Model is the base model, empty for a plain service.
	Model string
	// Adapter is empty where the base model alone answers.
	Adapter      string
	PromptTokens int
	OutputTokens int
	// LastEvent is the last event of a stream that the caller has, empty for none.
	LastEvent string
}

// Sending is what the entry node adds to a request for a backend server.
type Sending struct {
	// Server is the only server that may run the request.
	Server string
	// Left is the time for which the server may work.
	Left time.Duration
	// Version is the only adapter version that may answer, zero for any.
	Version int
	// Rank orders requests at an engine; zero is the most urgent.
	Rank int
	// LastEvent is the event after which a stream goes on, empty for its start.
	LastEvent string
}

// Verdict is what a backend server's answer says of the request.
type Verdict int

// Verdicts.
const (
	// Genuine is a server's own answer, a failure or not.
	Genuine Verdict = iota
	// NotRun means that the server has not run the request.
	NotRun
	// Misdirected means that the server lacks the adapter or its version; it has not run the request.
	Misdirected
	// Replaced means that another server has the address; it has not run the request.
	Replaced
	// Foreign is an answer that no sound server gives; the request may have run.
	Foreign
)

var verdictNames = [...]string{"genuine", "not_run", "misdirected", "replaced", "foreign"}

// String returns the verdict's name in logs.
func (ve Verdict) String() string { return verdictNames[ve] }

// Protocol translates between the messages on the wire and the node's requests.
type Protocol interface {
	// Call reads what a caller's request says of itself.
	Call(rq *http.Request) (Call, error)
	// Header returns the headers that go to a backend server with a caller's request.
	Header(caller http.Header, ca *Call, se *Sending) http.Header
	// Belongs tells whether an answer's headers belong to a request.
	Belongs(hd http.Header, ca *Call) bool
	// Verdict tells what an answer says of a request that was sent to a server.
	Verdict(status int, hd http.Header, server string) Verdict
}

// Topic is a part of the log.
type Topic int

// Topics.
const (
	// Operators holds routes and adapter versions.
	Operators Topic = iota
	// Servers holds the records of backend servers.
	Servers
)

var topicNames = [...]string{"operators", "servers"}

// String returns the topic's name in logs.
func (to Topic) String() string { return topicNames[to] }

// AdapterVersion announces a version of an adapter.
type AdapterVersion struct {
	Model   string
	Adapter string
	Version int
}

// Change is one record of the log; at most one of its parts is set.
type Change struct {
	Offset  int64
	Table   *paths.Table
	Version *AdapterVersion
	Server  *roster.Server
	// Removed is the identity of a server whose record is gone.
	Removed string
}

// Batch is a part of a topic.
type Batch struct {
	Changes []Change
	// End is the offset after the last record read.
	End int64
}

// ErrExpired means that records after an offset are gone; read the newest of each instead.
var ErrExpired = errors.New("direct: records of the log have expired; read the newest of each key")

// Source reads the platform's log.
type Source interface {
	// Newest reads the newest record of each key; the changes after the batch's end follow.
	Newest(ctx context.Context, to Topic) (Batch, error)
	// After reads the records from an offset and waits for the first; it fails with ErrExpired where they are gone.
	After(ctx context.Context, to Topic, from int64, wait time.Duration) (Batch, error)
}

// Network is how the entry node reaches others and is reached.
type Network interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}
