package claims

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/claim"
	"github.com/bambooladder/bambooladder/core/record"
	"github.com/bambooladder/bambooladder/entry/internal/plat"
)

// lostMax bounds the remembered claims that did not win.
const lostMax = 4096

// follow folds the stream until the context ends.
func (st *stream) follow(ctx context.Context, seen func(int64)) {
	st.heard = time.Now()
	for ctx.Err() == nil {
		err := st.advance(ctx, seen)
		if err == nil {
			continue
		}
		st.setCurrent(false)
		st.lg.Warn().Str("stream", st.name).Str("error", err.Error()).Msg("claims_unreadable")
		select {
		case <-ctx.Done():
		case <-time.After(retryWait):
		}
	}
}

// restart begins the fold at an offset.
func (st *stream) restart(first int64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.table = claim.Start(first)
}

// setCurrent tells whether the fold has read to the end.
func (st *stream) setCurrent(current bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.current = current
}

// advance reads once and folds what it read.
func (st *stream) advance(ctx context.Context, seen func(int64)) error {
	st.mu.Lock()
	next, current := st.table.Next(), st.current
	st.mu.Unlock()
	wait := pollWait
	if !current {
		wait = 0
	}
	page, err := st.log.Read(ctx, st.name, next, wait)
	if errors.Is(err, plat.ErrExpired) {
		st.lg.Warn().Str("stream", st.name).Int64("offset", next).Int64("first", page.First).Msg("claims_expired")
		st.restart(page.First)
		return nil
	}
	if err != nil {
		return err
	}
	seen(st.fold(page))
	if len(page.Entries) > 0 {
		st.heard = time.Now()
	}
	if time.Since(st.heard) > st.tickAfter {
		st.heard = time.Now()
		go func() { _ = st.append(ctx, &record.Envelope{}) }()
	}
	return nil
}

// fold applies a page and returns the stream's log time.
func (st *stream) fold(page plat.Page) int64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, en := range page.Entries {
		st.apply(en)
	}
	st.current = st.table.Next() >= page.Next
	close(st.changed)
	st.changed = make(chan struct{})
	return st.table.LogTime()
}

// apply folds one record.
func (st *stream) apply(en record.Entry) {
	effect, ok := st.table.Apply(en)
	if !ok {
		st.lg.Error().Str("stream", st.name).Int64("offset", en.Offset).Msg("claim_out_of_order")
		return
	}
	if effect.Lost != nil {
		if len(st.lost) >= lostMax {
			clear(st.lost)
		}
		st.lost[effect.Lost.Attempt] = effect.Reason
	}
}
