package weight

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// loadTime is the time of one load while at most fullSpeed are in flight.
	loadTime  = 250 * time.Millisecond
	fullSpeed = 8
	step      = 10 * time.Millisecond
)

// Store serves weights at a limited rate.
type Store struct {
	mu       sync.Mutex
	loads    *rate.Limiter
	inFlight int
	down     bool
	slowdown float64
	served   int
}

// New returns a store that allows so many loads a second.
func New(loadsPerSecond float64) *Store {
	return &Store{loads: rate.NewLimiter(rate.Limit(loadsPerSecond), fullSpeed), slowdown: 1}
}

// SetDown switches an outage on or off.
func (st *Store) SetDown(down bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.down = down
}

// SetSlowdown makes each load take a multiple of its time.
func (st *Store) SetSlowdown(factor float64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.slowdown = max(1, factor)
}

// Served returns the number of loads served.
func (st *Store) Served() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.served
}

// Load takes the time of one load and returns the HTTP status it ended with.
func (st *Store) Load(ctx context.Context) int {
	if status := st.enter(); status != http.StatusOK {
		return status
	}
	defer st.leave()
	progress := 0.0
	for progress < 1 {
		select {
		case <-ctx.Done():
			return http.StatusRequestTimeout
		case <-time.After(step):
		}
		speed, down := st.speed()
		if down {
			return http.StatusServiceUnavailable
		}
		progress += speed * float64(step) / float64(loadTime)
	}
	return http.StatusOK
}

// enter counts a load in, if the rate allows it.
func (st *Store) enter() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.down {
		return http.StatusServiceUnavailable
	}
	if !st.loads.AllowN(time.Now(), 1) {
		return http.StatusTooManyRequests
	}
	st.inFlight++
	return http.StatusOK
}

// leave counts a load out.
func (st *Store) leave() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.inFlight--
	st.served++
}

// speed returns the share of full speed that each load gets now.
func (st *Store) speed() (float64, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	share := min(1, float64(fullSpeed)/float64(max(1, st.inFlight)))
	return share / st.slowdown, st.down
}

// Handler returns the store's HTTP interface.
func (st *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{adapter}/{version}", func(wr http.ResponseWriter, rq *http.Request) {
		wr.WriteHeader(st.Load(rq.Context()))
	})
	mux.HandleFunc("PUT /faults", func(wr http.ResponseWriter, rq *http.Request) {
		body := struct {
			Down     bool    `json:"down"`
			Slowdown float64 `json:"slowdown"`
		}{}
		if err := json.NewDecoder(rq.Body).Decode(&body); err != nil {
			http.Error(wr, err.Error(), http.StatusBadRequest)
			return
		}
		st.SetDown(body.Down)
		st.SetSlowdown(body.Slowdown)
	})
	return mux
}
