package reply

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// statusEnd is the first number beyond the statuses of the protocol.
const statusEnd = 600

// ErrInvalid means that a server has sent what is no answer in the protocol. Whether the request has run is not known.
var ErrInvalid = errors.New("reply: what the server has sent is no answer; look at what it sends")

// IsFinal reports whether a status is that of an answer to a request.
func IsFinal(status int) bool { return status >= http.StatusOK && status < statusEnd }

// IsInterim reports whether a status is one that the answer's own head follows. No request here asks for another protocol.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
