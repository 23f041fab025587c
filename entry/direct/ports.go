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

// RequestInfo describes a caller's request, as read from its headers.
type RequestInfo struct {
	// ID identifies the request. A caller that retries sends a new ID.
	ID string
	// CallerTimeout is how long the caller waits for the answer, zero if it sets no limit.
	CallerTimeout time.Duration
	// Model is the base model, empty for a plain service.
	Model string
	// Adapter is empty for requests to the base model itself.
	Adapter      string
	PromptTokens int
	// OutputTokens is the maximum number of tokens to generate, OutputExpected the caller's estimate of their number; both
	// are zero if they are not known.
	OutputTokens, OutputExpected int
	// PromptParts are the IDs of the parts of the prompt that other requests may share, in order.
	// The part that belongs to the request alone is left out.
	PromptParts []string
	// LastEvent is the ID of the last stream event that the caller has received, empty for
	// none.
	LastEvent string
	// Resumes is the ID of the request that brought the first event of the stream that this one takes up,
	// empty if it takes up none.
	Resumes string
	// Key is the key by which the caller identifies its organisation, empty if the request has no valid one.
	Key string
	// KeyFault states why Key is empty.
	KeyFault KeyFault
}

// KeyFault states why a request has no valid key, the zero value that it has none at all.
type KeyFault string

// Faults of keys.
const (
	KeyMissing  KeyFault = ""
	KeyRepeated KeyFault = "repeated"
	KeyScheme   KeyFault = "scheme"
	KeyEmpty    KeyFault = "empty"
)

// ForwardInfo holds what the entry node adds to a request that it forwards to a backend server.
type ForwardInfo struct {
	// Server is the ID of the only server that may run the request.
	Server string
	// TimeLeft is the time that the server has to answer.
	TimeLeft time.Duration
	// Version is the only adapter version that may answer, zero for any.
	Version int
	// Rank orders requests at an engine; zero is the most urgent.
	Rank int
	// LastEvent is the ID of the event after which the stream resumes, empty to start from the
	// beginning.
	LastEvent string
	// Identified is true if the deployment has organisations, so that what a caller says of its organisation is not
	// forwarded.
	Identified bool
	// Organisation is the name of the caller's organisation, empty if it is not known.
	Organisation string
}

// AnswerKind classifies a backend server's answer.
type AnswerKind int

// Kinds of answers.
const (
	// Genuine is the expected server's own answer, successful or not.
	Genuine AnswerKind = iota
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

var answerKindNames = [...]string{"genuine", "not_run", "misdirected", "replaced", "foreign"}

// String returns the name of the kind as it appears in logs.
func (ak AnswerKind) String() string { return answerKindNames[ak] }

// Demands is what a backend server asks of the entry nodes in the headers of an answer.
type Demands struct {
	// Limited is true if the server names a limit on requests.
	Limited bool
	// Limit is the number of requests that it takes in a second from all entry nodes together.
	Limit float64
	// Leaving is true if the server is about to stop and takes no new requests.
	Leaving bool
	// Pause is how long the server wants no request from this node, zero for no pause.
	Pause time.Duration
}

// Protocol translates between HTTP messages and the node's view of requests and answers.
type Protocol interface {
	// RequestInfo reads the description of a caller's request.
	RequestInfo(rq *http.Request) (RequestInfo, error)
	// Header returns the headers to send to a backend server with a caller's request.
	Header(caller http.Header, ri *RequestInfo, fi *ForwardInfo) http.Header
	// MatchesRequest reports whether an answer's headers belong to the given request. On a reused connection,
	// answers to earlier requests may come late.
	MatchesRequest(hd http.Header, ri *RequestInfo, reused bool) bool
	// AnswerKind classifies the answer to a request that was sent to the given server.
	AnswerKind(status int, hd http.Header, server string) AnswerKind
	// Demands reads what a server asks for in the headers of an answer. If it also returns an
	// error, values were invalid and are bounded or left out.
	Demands(status int, hd http.Header) (Demands, error)
	// ReportTarget returns the target at which a server says what it knows of itself.
	ReportTarget() string
	// ReportedRun reads when the run of a server started, in Unix milliseconds, from what it says of itself.
	ReportedRun(status int, report []byte) (int64, error)
}

// Topic is one topic of the platform's log.
type Topic int

// Topics of the log.
const (
	// OperatorsTopic holds the routes and the adapter versions.
	OperatorsTopic Topic = iota
	// ServersTopic holds the records of the backend servers.
	ServersTopic
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

// LogRecord is one record of the log; at most one of its fields besides Offset is set.
type LogRecord struct {
	Offset  int64
	Table   *paths.Table
	Version *AdapterVersion
	Server  *roster.Server
	// RemovedServer is the ID of a server whose record was deleted.
	RemovedServer string
	// UnreadableServer is the key of a server's record that names no server that can be used.
	UnreadableServer string
}

// LogBatch holds consecutive records of a topic.
type LogBatch struct {
	Records []LogRecord
	// End is the offset after the last record read.
	End int64
	// Epoch rises each time the log comes back from an older copy of itself. Offsets are given out again
	// in each epoch. It is zero if the answer did not state a valid one.
	Epoch int64
}

// ErrExpired means that the log no longer holds records from the given offset on; the caller
// must read the newest record of each key instead.
var ErrExpired = errors.New("direct: log records from the offset on have expired; read the newest record of each key")

// LogReader reads the platform's log.
type LogReader interface {
	// ReadNewest reads the newest record of each key. Later changes follow from the end offset of
	// the batch.
	ReadNewest(ctx context.Context, to Topic) (LogBatch, error)
	// After reads the records from an offset on, and waits for the first one if there is none
	// yet. It fails with ErrExpired if the log does not hold records from that offset on; the batch
	// then has only the epoch.
	After(ctx context.Context, to Topic, from int64, wait time.Duration) (LogBatch, error)
}

// Network opens connections to other processes and listens for theirs.
type Network interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}
