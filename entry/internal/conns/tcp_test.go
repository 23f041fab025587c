package conns

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Callers on kept connections of a real network, some of which send heads in two parts, lose no request in a stop: an
// answer within it tells that it is the last one, and only then a connection ends under those who use it.
func TestDrainLosesNoRequestOverTCP(t *testing.T) {
	const (
		callers  = 60
		pauseMax = 300 * time.Millisecond
		before   = 500 * time.Millisecond
	)
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	set, draining := NewSet(Limits{Idle: idleMax}, zerolog.Nop()), atomic.Bool{}
	hs := &http.Server{
		ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, ConnState: set.ConnState,
		Handler: http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
			if draining.Load() {
				wr.Header().Set("Connection", "close")
			}
			time.Sleep(time.Duration(rand.Int64N(int64(20 * time.Millisecond))))
		}),
	}
	ls := set.Listener(inner)
	go func() { _ = hs.Serve(ls) }()
	defer func() { _ = hs.Close() }()
	wg, answered := sync.WaitGroup{}, atomic.Int64{}
	for number := range callers {
		nc, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		wg.Go(func() {
			defer func() { _ = nc.Close() }()
			for rd := bufio.NewReader(nc); ; {
				told, ok := askAndNote(nc, rd, number%3 == 0)
				if !ok {
					t.Errorf("a request of caller %d got no answer", number)
				}
				if told || !ok {
					return
				}
				answered.Add(1)
				time.Sleep(time.Duration(rand.Int64N(int64(pauseMax))))
			}
		})
	}
	time.Sleep(before)
	draining.Store(true)
	_ = ls.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if left := set.Drain(ctx); left.All() > 0 {
		t.Errorf("%+v are left", left)
	}
	wg.Wait()
	t.Logf("%d requests were answered before the last ones of %d connections", answered.Load(), callers)
}

// askAndNote sends a request, in two parts if halved is set. It reports whether the answer told that it is the last one,
// and whether there was one.
func askAndNote(nc net.Conn, rd *bufio.Reader, halved bool) (told, ok bool) {
	first := len(request)
	if halved {
		first /= 2
	}
	if _, err := nc.Write([]byte(request[:first])); err != nil {
		return false, false
	}
	if halved {
		time.Sleep(50 * time.Millisecond)
		if _, err := nc.Write([]byte(request[first:])); err != nil {
			return false, false
		}
	}
	resp, err := http.ReadResponse(rd, nil)
	if err != nil {
		return false, false
	}
	_ = resp.Body.Close()
	return resp.Close, true
}
