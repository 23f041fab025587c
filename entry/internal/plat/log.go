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
	"github.com/bambooladder/bambooladder/core/reply"
)

const (
	appendTimeout = 2 * time.Second
	// readTimeout limits a read, in addition to the time for which the log waits for a record.
	readTimeout = 1500 * time.Millisecond
	// maxDrainBytes limits how much of an unused response body is read.
	maxDrainBytes = 1 << 20
	// maxAllReadBytes limits the memory of all pages that are being read.
	maxAllReadBytes = 128 << 20
	// maxResponseBytes is the maximum size of a response body. A longer one is an error.
	maxResponseBytes = 64 << 20
)

// Errors of the platform's log.
var (
	// ErrNotAppended means that the log refused the append, so that nothing was appended.
	ErrNotAppended = errors.New("plat: the log refused the append; come back later")
	// ErrExpired means that the log has deleted the record at the offset because it is older than
	// the retention.
	ErrExpired = errors.New("plat: the offset has expired; load a snapshot")
)

// Page is the result of a read from a stream.
type Page struct {
	// First is the offset of the oldest record that the log keeps.
	First int64
	// Next is the offset that the next appended record gets.
	Next       int64
	LogRecords []record.LogRecord
}

// Log is a client of the platform's log.
type Log struct {
	http    *http.Client
	baseURL string
	// budget limits the memory of the pages that are being read.
	budget reply.Budget
}

// NewLog returns a client of the log at a base URL.
func NewLog(hc *http.Client, baseURL string) *Log {
	return &Log{http: hc, baseURL: baseURL, budget: reply.Budget{BytesMax: maxAllReadBytes}}
}

// logRecord is one record in the response to a read.
type logRecord struct {
	Offset int64  `json:"offset"`
	Time   int64  `json:"time"`
	Data   []byte `json:"data"`
}

// logPage is the body of the response to a read.
type logPage struct {
	First   int64       `json:"first"`
	Next    int64       `json:"next"`
	Records []logRecord `json:"records"`
}

// Append appends records to a stream. If it returns ErrNotAppended, nothing was appended. After any
// other error the records may have been appended.
func (lo *Log) Append(ctx context.Context, stream string, data [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	body, err := json.Marshal(map[string][][]byte{"records": data})
	if err != nil {
		return errors.Wrap(err, "plat: encode append")
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, lo.baseURL+"/streams/"+url.PathEscape(stream), bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "plat: build append request")
	}
	resp, err := lo.http.Do(rq)
	if err != nil {
		return errors.Wrap(err, "plat: append")
	}
	defer drainAndClose(resp)
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ErrNotAppended
	}
	return errors.Newf("plat: append returned status %d", resp.StatusCode)
}

// Read returns the records of a stream from an offset on. If there is none yet, the log waits for
// the first one up to the given time. If the record at the offset has been deleted, Read returns
// ErrExpired and a page that has the offset of the oldest record.
func (lo *Log) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	readURL := fmt.Sprintf("%s/streams/%s?from=%d&wait_ms=%d", lo.baseURL, url.PathEscape(stream), from, wait.Milliseconds())
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, readURL, nil)
	if err != nil {
		return Page{}, errors.Wrap(err, "plat: build read request")
	}
	resp, err := lo.http.Do(rq)
	if err != nil {
		return Page{}, errors.Wrap(err, "plat: read")
	}
	defer drainAndClose(resp)
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return Page{}, errors.Newf("plat: read returned status %d", resp.StatusCode)
	}
	data, err := lo.budget.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return Page{}, errors.Wrap(err, "plat: read page")
	}
	lp := logPage{}
	if err := json.Unmarshal(data, &lp); err != nil {
		return Page{}, errors.Wrap(err, "plat: decode page")
	}
	page := Page{First: lp.First, Next: lp.Next, LogRecords: make([]record.LogRecord, 0, len(lp.Records))}
	for _, lr := range lp.Records {
		page.LogRecords = append(page.LogRecords, record.LogRecord{Offset: lr.Offset, Time: lr.Time, Data: lr.Data})
	}
	if resp.StatusCode == http.StatusGone {
		return page, ErrExpired
	}
	return page, nil
}

// drainAndClose reads the rest of a response, up to maxDrainBytes, and closes its body, so that
// the connection can be reused.
func drainAndClose(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes))
	_ = resp.Body.Close()
}
