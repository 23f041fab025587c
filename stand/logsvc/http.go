package logsvc

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	pageMax  = 1000
	waitMax  = 30 * time.Second
	bodyMax  = 32 << 20
	lostPark = time.Hour
)

// appendRequest is the body of an append.
type appendRequest struct {
	Records [][]byte `json:"records"`
}

// appendReply is the answer to an append.
type appendReply struct {
	Offset int64 `json:"offset"`
}

// faultRequest switches faults.
type faultRequest struct {
	Mode             Mode  `json:"mode"`
	DelayMs          int64 `json:"delay_ms"`
	RetentionSeconds int64 `json:"retention_seconds"`
}

// Handler returns the service's HTTP interface.
func (sv *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}", sv.serveAppend)
	mux.HandleFunc("GET /streams/{stream}", sv.serveRead)
	mux.HandleFunc("PUT /faults", sv.serveFaults)
	return mux
}

// serveAppend handles an append.
func (sv *Service) serveAppend(wr http.ResponseWriter, rq *http.Request) {
	body := appendRequest{}
	if err := json.NewDecoder(http.MaxBytesReader(wr, rq.Body, bodyMax)).Decode(&body); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	mode, delay := sv.fault()
	if mode == Silent {
		park(rq.Context(), lostPark)
		return
	}
	park(rq.Context(), delay)
	offset, err := sv.Append(rq.PathValue("stream"), body.Records)
	if err != nil {
		fail(wr, err)
		return
	}
	if mode == LoseAnswers {
		park(rq.Context(), lostPark)
		return
	}
	reply(wr, appendReply{Offset: offset})
}

// serveRead handles a read that may wait for records.
func (sv *Service) serveRead(wr http.ResponseWriter, rq *http.Request) {
	mode, delay := sv.fault()
	if mode == Silent {
		park(rq.Context(), lostPark)
		return
	}
	park(rq.Context(), delay)
	from, _ := strconv.ParseInt(rq.FormValue("from"), 10, 64)
	waitMs, _ := strconv.ParseInt(rq.FormValue("wait_ms"), 10, 64)
	wait := min(time.Duration(waitMs)*time.Millisecond, waitMax)
	grown := sv.Grown(rq.PathValue("stream"))
	page, err := sv.Read(rq.PathValue("stream"), from, pageMax)
	if err == nil && len(page.Records) == 0 && wait > 0 {
		select {
		case <-grown:
		case <-time.After(wait):
		case <-rq.Context().Done():
			return
		}
		page, err = sv.Read(rq.PathValue("stream"), from, pageMax)
	}
	if errors.Is(err, errAbsent) {
		wr.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(wr).Encode(page)
		return
	}
	if err != nil {
		fail(wr, err)
		return
	}
	reply(wr, page)
}

// serveFaults handles a switch of faults.
func (sv *Service) serveFaults(wr http.ResponseWriter, rq *http.Request) {
	body := faultRequest{}
	if err := json.NewDecoder(rq.Body).Decode(&body); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	if body.Mode != "" {
		sv.SetMode(body.Mode)
	}
	sv.SetDelay(time.Duration(body.DelayMs) * time.Millisecond)
	if body.RetentionSeconds > 0 {
		sv.SetRetention(time.Duration(body.RetentionSeconds) * time.Second)
	}
}

// park waits unless the caller goes away.
func park(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}

// fail answers with the status that fits an error.
func fail(wr http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	if errors.Is(err, ErrBusy) {
		status = http.StatusTooManyRequests
	}
	wr.Header().Set("Retry-After", "1")
	http.Error(wr, err.Error(), status)
}

// reply answers with JSON.
func reply(wr http.ResponseWriter, value any) {
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(value)
}
