package claims

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/record"
	"github.com/bambooladder/bambooladder/entry/internal/plat"
)

const (
	slowAppend = 300 * time.Millisecond
	emptyRead  = 3 * time.Second
)

// slowLog is a log that takes slowAppend to append records, unless the caller goes before.
type slowLog struct{ appended atomic.Int64 }

func (sl *slowLog) Append(ctx context.Context, _ string, data [][]byte) error {
	select {
	case <-time.After(slowAppend):
		sl.appended.Add(int64(len(data)))
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (*slowLog) Read(ctx context.Context, _ string, _ int64, _ time.Duration) (plat.Page, error) {
	select {
	case <-time.After(emptyRead):
	case <-ctx.Done():
	}
	return plat.Page{}, ctx.Err()
}

// A node that stops waits for the ends of its last calls to be in the log, however close they are to the stop.
func TestAwaitDonesWaitsForEveryEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 40
		lo := &slowLog{}
		cs := NewClaims(lo, func(int64) {}, func() float64 { return 0 }, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		go cs.Run(ctx)
		for number := range calls {
			cs.Done(t.Context(), record.Done{Key: "key", Attempt: string(rune('a' + number)), Status: 201})
			if number%4 == 0 {
				time.Sleep(slowAppend / 10)
			}
		}
		cs.AwaitDones()
		cancel()
		if got := lo.appended.Load(); got != calls {
			t.Errorf("%d of %d ends are in the log", got, calls)
		}
	})
}

// A log that is away does not hold a stop up.
func TestAwaitDonesGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cs := NewClaims(&slowLog{}, func(int64) {}, func() float64 { return 0 }, zerolog.Nop())
		cs.Done(t.Context(), record.Done{Key: "key", Attempt: "a"})
		start := time.Now()
		cs.AwaitDones()
		if took := time.Since(start); took > claimTimeout {
			t.Errorf("the wait took %v, want %v at most", took, claimTimeout)
		}
	})
}
