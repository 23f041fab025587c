package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/record"
)

const (
	appendTimeout = 2 * time.Second
	readTimeout   = 1500 * time.Millisecond
	answerBytes   = 64 << 20
)

// Errors of the platform's log.
var (
	// ErrNotAppended means that the log refused the append and nothing was appended.
	ErrNotAppended = errors.New("plat: the log refused the append; come back later")
	// ErrExpired means that the offset is older than the log's retention.
	ErrExpired = errors.New("plat: the offset has expired; load a snapshot")
)

// Page is a part of a stream.
type Page struct {
	// First is the oldest offset kept.
	First int64
	// Next is the offset of the next append.
	Next    int64
	Entries []record.LogRecord
}

// Log is a client of the platform's log.
type Log struct {
	http *http.Client
	base string
}

// NewLog returns a client of the log at a URL.
func NewLog(hc *http.Client, base string) *Log {
	return &Log{http: hc, base: base}
}

// logRecord is one record as the log shows it.
type logRecord struct {
	Offset int64  `json:"offset"`
	Time   int64  `json:"time"`
	Data   []byte `json:"data"`
}

// logPage is the log's answer to a read.
type logPage struct {
	First   int64       `json:"first"`
	Next    int64       `json:"next"`
	Records []logRecord `json:"records"`
}

// Append adds records to a stream. ErrNotAppended means that nothing was
// appended; any other error leaves open whether it was.
func (lo *Log) Append(ctx context.Context, stream string, data [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	body, err := json.Marshal(map[string][][]byte{"records": data})
	if err != nil {
		return errors.Wrap(err, "plat: encode append")
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, lo.base+"/streams/"+url.PathEscape(stream), bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "plat: build append")
	}
	resp, err := lo.http.Do(rq)
	if err != nil {
		return errors.Wrap(err, "plat: append")
	}
	defer discard(resp)
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ErrNotAppended
	}
	return errors.Newf("plat: append answered %d", resp.StatusCode)
}

// Read returns records from an offset and waits up to a time for the first one.
func (lo *Log) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	target := fmt.Sprintf("%s/streams/%s?from=%d&wait_ms=%d", lo.base, url.PathEscape(stream), from, wait.Milliseconds())
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Page{}, errors.Wrap(err, "plat: build read")
	}
	resp, err := lo.http.Do(rq)
	if err != nil {
		return Page{}, errors.Wrap(err, "plat: read")
	}
	defer discard(resp)
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return Page{}, errors.Newf("plat: read answered %d", resp.StatusCode)
	}
	lp := logPage{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, answerBytes)).Decode(&lp); err != nil {
		return Page{}, errors.Wrap(err, "plat: decode page")
	}
	page := Page{First: lp.First, Next: lp.Next, Entries: make([]record.LogRecord, 0, len(lp.Records))}
	for _, lr := range lp.Records {
		page.Entries = append(page.Entries, record.LogRecord{Offset: lr.Offset, Time: lr.Time, Data: lr.Data})
	}
	if resp.StatusCode == http.StatusGone {
		return page, ErrExpired
	}
	return page, nil
}

// discard reads the rest of a short answer, so that its connection is used again.
func discard(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, answerBytes))
	_ = resp.Body.Close()
}
