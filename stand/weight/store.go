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
	// loadTime is the duration of a load while at most fullSpeedLoads are in flight.
	loadTime = 250 * time.Millisecond
	// fullSpeedLoads is the number of loads that can run at full speed at once; if more run, all of
	// them share the bandwidth of that many. It is also the burst of the rate limit.
	fullSpeedLoads = 8
	// progressInterval is the time between updates of the progress of a load.
	progressInterval = 10 * time.Millisecond
)

// Store is a simulated weight store.
type Store struct {
	mu          sync.Mutex
	loadLimiter *rate.Limiter
	inFlight    int
	down        bool
	// slowdown multiplies the duration of each load.
	slowdown   float64
	endedLoads int
}

// New returns a store that accepts the given rate of loads.
func New(loadsPerSecond float64) *Store {
	return &Store{loadLimiter: rate.NewLimiter(rate.Limit(loadsPerSecond), fullSpeedLoads), slowdown: 1}
}

// SetDown begins or ends an outage. It makes running loads fail as well.
func (st *Store) SetDown(down bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.down = down
}

// SetSlowdown sets the factor by which each load takes longer; factors below 1 count as 1.
func (st *Store) SetSlowdown(factor float64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.slowdown = max(1, factor)
}

// EndedLoads returns the number of accepted loads that have ended, also those that failed.
func (st *Store) EndedLoads() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.endedLoads
}

// Load blocks for the duration of a load and returns the HTTP status that it ends with.
func (st *Store) Load(ctx context.Context) int {
	if status := st.startLoad(); status != http.StatusOK {
		return status
	}
	defer st.endLoad()
	progress := 0.0
	for progress < 1 {
		select {
		case <-ctx.Done():
			return http.StatusRequestTimeout
		case <-time.After(progressInterval):
		}
		speed, down := st.speed()
		if down {
			return http.StatusServiceUnavailable
		}
		progress += speed * float64(progressInterval) / float64(loadTime)
	}
	return http.StatusOK
}

// startLoad counts a load as in flight, or returns the status with which it is refused.
func (st *Store) startLoad() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.down {
		return http.StatusServiceUnavailable
	}
	if !st.loadLimiter.AllowN(time.Now(), 1) {
		return http.StatusTooManyRequests
	}
	st.inFlight++
	return http.StatusOK
}

// endLoad counts a load as ended.
func (st *Store) endLoad() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.inFlight--
	st.endedLoads++
}

// speed returns the current speed of each load as a fraction of full speed, and whether the store
// is down.
func (st *Store) speed() (float64, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	share := min(1, float64(fullSpeedLoads)/float64(max(1, st.inFlight)))
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
