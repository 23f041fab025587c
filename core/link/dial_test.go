package link

import (
	"net"
	"testing"

	"github.com/bambooladder/bambooladder/core/reply/fakes"
)

// What listens at the address of an agent or a peer sends an invalid response to the handshake. That opens no connection.
func TestDialTakesNoInvalidResponseForAHandshake(t *testing.T) {
	fakes.ServeInvalid(t, "trouble", func(address, answer string) {
		if co, err := Dial(t.Context(), &net.Dialer{}, address); err == nil {
			co.ForceClose()
			t.Errorf("%q: a connection is open", answer)
		}
	})
}

// socketBuffersMax bounds what the sockets of a connection hold, in bytes.
const socketBuffersMax = 16 << 20

func TestDialReadsNoEndlessResponse(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 101 Switching Protocols\r\nA: ", "HTTP/1.1 200 OK\r\n\r\n", ""} {
		en := &fakes.Endless{Text: text, Block: "e"}
		if co, err := Dial(t.Context(), &net.Dialer{}, fakes.Serve(t, en.Answer)); err == nil {
			co.ForceClose()
			t.Errorf("%q: a connection is open", text)
		}
		if en.Sent() > socketBuffersMax {
			t.Errorf("%q: %d MiB were read", text, en.Sent()>>20)
		}
	}
}
