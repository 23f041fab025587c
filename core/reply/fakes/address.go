package fakes

import (
	"math/rand/v2"
	"net"
	"testing"
)

// firstPort and lastPort are below the ports that the system gives to connections and to listeners that name none.
const (
	firstPort = 20_000
	lastPort  = 32_000
	portTries = 100
)

// FreeAddress returns a loopback address on which nothing listens.
func FreeAddress(tb testing.TB) string {
	tb.Helper()
	for range portTries {
		address := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: firstPort + rand.IntN(lastPort-firstPort)}
		if ls, err := net.ListenTCP("tcp", address); err == nil {
			_ = ls.Close()
			return address.String()
		}
	}
	tb.Fatal("no port is free")
	return ""
}
