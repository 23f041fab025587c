package fakes

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// settleTime is longer than the loopback interface takes.
const settleTime = 50 * time.Millisecond

// Serve starts a server that calls answer once the head of the first request of a connection has arrived, and then closes the
// connection. It returns the server's address.
func Serve(tb testing.TB, answer func(nc *net.TCPConn)) string {
	tb.Helper()
	ls, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = ls.Close() })
	go func() {
		for nc, err := ls.AcceptTCP(); err == nil; nc, err = ls.AcceptTCP() {
			go serveConn(nc, answer)
		}
	}()
	return ls.Addr().String()
}

// serveConn reads the head of a request and answers it.
func serveConn(nc *net.TCPConn, answer func(nc *net.TCPConn)) {
	defer func() { _ = nc.Close() }()
	rd := bufio.NewReader(nc)
	for {
		line, err := rd.ReadString('\n')
		if err != nil {
			return
		}
		if line == "\r\n" {
			answer(nc)
			return
		}
	}
}

// Send returns a function for Serve that sends a text and then calls end.
func Send(text string, end func(nc *net.TCPConn)) func(nc *net.TCPConn) {
	return func(nc *net.TCPConn) {
		_, _ = io.WriteString(nc, text)
		time.Sleep(settleTime / 2)
		end(nc)
	}
}

// Reset ends a connection by a reset.
func Reset(nc *net.TCPConn) {
	_ = nc.SetLinger(0)
	_ = nc.Close()
}

// Close closes a connection at once, which resets it if a part of the request has not been read.
func Close(nc *net.TCPConn) { _ = nc.Close() }

// Endings returns ways to close a connection in an orderly way, by name.
func Endings() map[string]func(nc *net.TCPConn) {
	return map[string]func(nc *net.TCPConn){
		"reads the rest": func(nc *net.TCPConn) {
			_ = nc.CloseWrite()
			_, _ = io.Copy(io.Discard, nc)
		},
		"reads no more": func(nc *net.TCPConn) {
			_ = nc.CloseWrite()
			time.Sleep(5 * settleTime)
		},
		"closes its end, then all": func(nc *net.TCPConn) {
			_ = nc.CloseWrite()
			time.Sleep(settleTime)
			_ = nc.Close()
		},
		"closes its end and all": func(nc *net.TCPConn) {
			_ = nc.CloseWrite()
			_ = nc.Close()
		},
	}
}
