package fakes

import (
	"fmt"
	"testing"
)

// InvalidStatuses returns status codes, some with reasons, that no response to a request of the system may have.
func InvalidStatuses() []string {
	return []string{"000 Trouble", "000", "001 Trouble", "099 Trouble", "+20 OK", "101 Switching Protocols", "600 Trouble", "999 Trouble"}
}

// InvalidNames returns header lines with invalid field names.
func InvalidNames() []string {
	return []string{
		"X Trouble: 1", "X-Trouble : 1", "Content-Length : 3", "Transfer-Encoding : chunked", "Content-Length\t: 3", "X\tTrouble: 1", "X-\x01Trouble: 1",
		"X-Trouble\x00: 1", "X-\x7fTrouble: 1", "X-\rTrouble: 1", "\x0bContent-Length: 3", "X-\x80Trouble: 1", ": 1",
	}
}

// Ambiguous returns responses with header lines and a body, whose heads can be read in more than one way.
func Ambiguous(lines, body string) []string {
	length := fmt.Sprintf("%d\r\n", len(body))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	return []string{
		"HTTP/1.1 200 OK\r\n" + lines + "Content-Length: " + length + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
		"HTTP/1.1 200 OK\r\n" + lines + "Transfer-Encoding: chunked\r\nContent-Length: " + length + "\r\n" + chunks,
		"HTTP/1.1 200 OK\r\n" + lines + "X-Folded: a\r\n Content-Length: 1\r\nContent-Length: " + length + "\r\n" + body,
		"HTTP/1.1 200 OK\r\n" + lines + "Content-Length:\r\n\t" + length + "\r\n" + body,
		"HTTP/1.1 200 OK\r\n" + lines + "Content-Length: " + length + " \r\nX-After: a\r\n\r\n" + body,
		"HTTP/1.0 200 OK\r\n" + lines + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
		"HTTP/1.1 200 OK\rContent-Length: 1\r\n" + lines + "Content-Length: " + length + "\r\n" + body,
		"HTTP/1.1 200 O\x00K\r\n" + lines + "Content-Length: " + length + "\r\n" + body,
		"HTTP/1.1  200 OK\r\n" + lines + "Content-Length: " + length + "\r\n" + body,
		"HTTP/2.0 200 OK\r\n" + lines + "Content-Length: " + length + "\r\n" + body,
		"HTTP/0.9 200 OK\r\n" + lines + "Content-Length: " + length + "\r\n" + body,
		"HTTP/1.1 204 No Content\r\n" + lines + "Content-Length: " + length + "\r\n" + body,
		"HTTP/1.1 204 No Content\r\n" + lines + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
		"HTTP/1.1 103 Early Hints\r\nContent-Length: " + length + "\r\nHTTP/1.1 200 OK\r\n" + lines + "Content-Length: " + length + "\r\n" + body,
	}
}

// Invalid returns responses with a body, whose heads are invalid or ambiguous.
func Invalid(body string) []string {
	list := make([]string, 0, len(InvalidStatuses())+2*len(InvalidNames()))
	for _, status := range InvalidStatuses() {
		list = append(list, fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body))
	}
	for _, line := range InvalidNames() {
		list = append(list,
			fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\nVia: v\r\n\r\n%s", len(body), line, body),
			fmt.Sprintf("HTTP/1.1 200 OK\r\nVia: v\r\n%s\r\n\r\n%s", line, body))
	}
	return append(list, Ambiguous("", body)...)
}

// ServeInvalid starts a server for each answer that Invalid returns, and calls read with its address and the answer.
func ServeInvalid(tb testing.TB, body string, read func(address, answer string)) {
	tb.Helper()
	for _, answer := range Invalid(body) {
		read(Serve(tb, Send(answer, Close)), answer)
	}
}
