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
	pageRecordsMax = 1000
	readWaitMax    = 30 * time.Second
	bodyBytesMax   = 32 << 20
	// lostAnswerWait is how long a request that gets no answer is held open.
	lostAnswerWait = time.Hour
)

// appendRequest is the body of an append request.
type appendRequest struct {
	Records [][]byte `json:"records"`
}

// appendReply is the answer to an append request. Offset is that of the first record.
type appendReply struct {
	Offset int64 `json:"offset"`
}

// faultRequest is the body of a request that sets the simulated faults. An empty mode and a
// retention of 0 leave the current value; the delay is always set.
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

// serveAppend handles an append request, subject to the simulated faults.
func (sv *Service) serveAppend(wr http.ResponseWriter, rq *http.Request) {
	body := appendRequest{}
	if err := json.NewDecoder(http.MaxBytesReader(wr, rq.Body, bodyBytesMax)).Decode(&body); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	mode, delay := sv.currentFault()
	if mode == Silent {
		sleep(rq.Context(), lostAnswerWait)
		return
	}
	sleep(rq.Context(), delay)
	offset, err := sv.Append(rq.PathValue("stream"), body.Records)
	if err != nil {
		writeError(wr, err)
		return
	}
	if mode == LoseAnswers {
		sleep(rq.Context(), lostAnswerWait)
		return
	}
	writeJSON(wr, appendReply{Offset: offset})
}

// serveRead handles a read request. If there is no record yet, it waits for the next append, up to
// the time that the request allows. If the offset has expired, it answers 410 with the offsets
// that are available.
func (sv *Service) serveRead(wr http.ResponseWriter, rq *http.Request) {
	mode, delay := sv.currentFault()
	if mode == Silent {
		sleep(rq.Context(), lostAnswerWait)
		return
	}
	sleep(rq.Context(), delay)
	from, _ := strconv.ParseInt(rq.FormValue("from"), 10, 64)
	waitMs, _ := strconv.ParseInt(rq.FormValue("wait_ms"), 10, 64)
	wait := min(time.Duration(waitMs)*time.Millisecond, readWaitMax)
	appended := sv.NextAppend(rq.PathValue("stream"))
	page, err := sv.Read(rq.PathValue("stream"), from, pageRecordsMax)
	if err == nil && len(page.Records) == 0 && wait > 0 {
		select {
		case <-appended:
		case <-time.After(wait):
		case <-rq.Context().Done():
			return
		}
		page, err = sv.Read(rq.PathValue("stream"), from, pageRecordsMax)
	}
	if errors.Is(err, errExpired) {
		wr.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(wr).Encode(page)
		return
	}
	if err != nil {
		writeError(wr, err)
		return
	}
	writeJSON(wr, page)
}

// serveFaults handles a request that sets the simulated faults.
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

// sleep waits for the delay or until the context is canceled.
func sleep(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}

// writeError answers with the HTTP status for an error.
func writeError(wr http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	if errors.Is(err, ErrBusy) {
		status = http.StatusTooManyRequests
	}
	wr.Header().Set("Retry-After", "1")
	http.Error(wr, err.Error(), status)
}

// writeJSON answers with a value as JSON.
func writeJSON(wr http.ResponseWriter, value any) {
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(value)
}
