package reply

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/conf"
)

const (
	// statusEnd is the first number beyond the statuses of the protocol.
	statusEnd = 600
	// emptyHeadBytes is the size of the shortest head, emptyLineBytes that of a line without a name and a value.
	emptyHeadBytes = len("HTTP/1.1 100 \r\n\r\n")
	emptyLineBytes = len(": \r\n")
	// loggedBytesMax bounds what an error tells of a head.
	loggedBytesMax = 40
)

// ErrInvalid means that a server has sent what is no answer in the protocol. Whether the request has run is not known.
var ErrInvalid = errors.New("reply: what the server has sent is no answer; look at what it sends")

// IsFinal reports whether a status is that of an answer to a request.
func IsFinal(status int) bool { return status >= http.StatusOK && status < statusEnd }

// IsInterim reports whether a status is one that the answer's own head follows. No request here asks for another protocol.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// IsName reports whether a name of a header field holds no blank and no other byte that a name must not hold. The library reads
// names with blanks, and leaves out what they say of the length of a body.
func IsName(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(ch rune) bool { return ch <= ' ' || ch >= 0x7f || ch == ':' })
}

// checkNames returns ErrInvalid unless all names of a head are names.
func checkNames(hd map[string][]string) error {
	for name := range hd {
		if !IsName(name) {
			return errors.Wrapf(ErrInvalid, "header name %q", name[:min(len(name), loggedBytesMax)])
		}
	}
	return nil
}

// interimHeads counts the heads before an answer's own. The library does not bound them where they are looked at.
type interimHeads struct {
	bytes int
}

// add counts a head. It returns ErrInvalid unless all names are names, or if the heads are too long.
func (ih *interimHeads) add(hd map[string][]string) error {
	ih.bytes += emptyHeadBytes
	for name, values := range hd {
		for _, value := range values {
			ih.bytes += emptyLineBytes + len(name) + len(value)
		}
	}
	if ih.bytes > conf.HeadBytesMax {
		return errors.Wrapf(ErrInvalid, "interim heads of more than %d bytes", conf.HeadBytesMax)
	}
	return checkNames(hd)
}

// check returns ErrInvalid unless an answer's head is one.
func check(resp *http.Response) error {
	if !IsFinal(resp.StatusCode) {
		return errors.Wrapf(ErrInvalid, "status %q", resp.Status[:min(len(resp.Status), loggedBytesMax)])
	}
	return checkNames(resp.Header)
}
