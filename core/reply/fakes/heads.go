package fakes

import (
	"fmt"
	"testing"
)

// invalidStatuses are no statuses of answers to any request here.
var invalidStatuses = []string{"000 Trouble", "000", "001 Trouble", "099 Trouble", "+20 OK", "101 Switching Protocols", "600 Trouble", "999 Trouble"}

// Invalid returns answers with a body, whose heads are those of no answer.
func Invalid(body string) []string {
	list := make([]string, 0, len(invalidStatuses))
	for _, status := range invalidStatuses {
		list = append(list, fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body))
	}
	return list
}

// ServeInvalid starts a server for each answer that Invalid returns, and calls read with its address and the answer.
func ServeInvalid(tb testing.TB, body string, read func(address, answer string)) {
	tb.Helper()
	for _, answer := range Invalid(body) {
		read(Serve(tb, Send(answer, Close)), answer)
	}
}
