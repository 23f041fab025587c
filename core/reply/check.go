package reply

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// statusEnd is one more than the highest status code.
	statusEnd = 600
	// statusDigits is the number of digits of a status code.
	statusDigits = 3
	// loggedBytesMax bounds what an error quotes of a head.
	loggedBytesMax = 40
)

// ErrInvalid means that a server has not sent a valid HTTP response, or one that can be read in more than one way. The request may
// have run.
var ErrInvalid = errors.New("reply: the server has sent an invalid response; look at what it sends")

// IsFinalStatus reports whether a status code is that of a final response.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status < statusEnd }

// IsInterimStatus reports whether a status code is that of an interim response, which the final one follows. No request here asks to
// switch protocols.
func IsInterimStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// hasNoBody reports whether responses with a status code have no body, whatever their heads say.
func hasNoBody(status int) bool { return IsInterimStatus(status) || status == http.StatusNoContent }

// isFieldName reports whether a text has no byte that a field name must not have, such as a blank. The library accepts blanks, and
// does not recognize the fields that determine the length of the body then.
func isFieldName(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(ch rune) bool { return ch <= ' ' || ch >= 0x7f })
}

// head is what the check of a head needs to know of it.
type head struct {
	status int
	// chunked and sized are true if the head has the fields Transfer-Encoding and Content-Length, filled if a length is not zero.
	chunked, sized, filled bool
}

// CheckHead returns ErrInvalid unless the bytes of a head, as received, have one meaning only. Another reader of the same bytes
// might see another end of the response.
func CheckHead(data []byte) error {
	line, fields := cutLine(data)
	hd := head{status: statusOf(line)}
	if !IsFinalStatus(hd.status) && !IsInterimStatus(hd.status) {
		return invalid("status line", line)
	}
	for len(fields) > 0 {
		line, fields = cutLine(fields)
		if err := hd.addField(line); err != nil {
			return err
		}
	}
	switch {
	case hd.chunked && hd.sized:
		return errors.Wrap(ErrInvalid, "a length beside chunks")
	case hd.chunked && bytes.HasPrefix(data, []byte("HTTP/1.0 ")):
		// HTTP/1.0 has no chunks: the library takes them for the body.
		return errors.Wrap(ErrInvalid, "chunks in HTTP/1.0")
	case (hd.chunked || hd.filled) && hasNoBody(hd.status):
		return errors.Wrapf(ErrInvalid, "a body with status %d", hd.status)
	}
	return nil
}

// addField reads a line of a head, which is empty at its end.
func (hd *head) addField(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isFieldName(string(name)) {
		return invalid("field", line)
	}
	hd.chunked = hd.chunked || strings.EqualFold(string(name), "Transfer-Encoding")
	if strings.EqualFold(string(name), "Content-Length") {
		hd.sized, hd.filled = true, hd.filled || string(bytes.TrimSpace(value)) != "0"
	}
	return nil
}

// CheckTrailer returns ErrInvalid if a field name of a trailer is invalid.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		if !isFieldName(name) {
			return invalid("trailer field", []byte(name))
		}
	}
	return nil
}

// statusOf returns the status code of a status line, zero if that is invalid. Versions from HTTP/1.2 on have the format of HTTP/1.1.
func statusOf(line []byte) int {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	if len(version) != len("HTTP/1.1") || !bytes.HasPrefix(version, []byte("HTTP/1.")) || !isDigit(rune(version[len(version)-1])) {
		return 0
	}
	if len(code) != statusDigits || bytes.ContainsFunc(code, func(ch rune) bool { return !isDigit(ch) }) || bytes.ContainsFunc(reason, isControl) {
		return 0
	}
	status, err := strconv.Atoi(string(code))
	if err != nil {
		return 0
	}
	return status
}

// isDigit reports whether a character is a decimal digit.
func isDigit(ch rune) bool { return ch >= '0' && ch <= '9' }

// isControl reports whether a character is a control character other than a tab.
func isControl(ch rune) bool { return ch < ' ' && ch != '\t' || ch == 0x7f }

// cutLine returns the first line of a head, without its end, and what follows it.
func cutLine(data []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(data, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// invalid returns ErrInvalid with the beginning of a line.
func invalid(what string, line []byte) error {
	return errors.Wrapf(ErrInvalid, "%s %q", what, line[:min(len(line), loggedBytesMax)])
}
