package logsvc

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// Mode selects whether the service works or which failure it simulates.
type Mode string

// Modes of the service.
const (
	// Up serves all requests.
	Up Mode = "up"
	// Down refuses all requests.
	Down Mode = "down"
	// Silent neither executes nor answers HTTP requests.
	Silent Mode = "silent"
	// LoseAnswers executes HTTP append requests but does not answer them.
	LoseAnswers Mode = "lose_answers"
)

// Errors of the service.
var (
	ErrBusy    = errors.New("logsvc: too many appends a second; come back later")
	ErrDown    = errors.New("logsvc: the service is down; come back later")
	errExpired = errors.New("logsvc: the offset has expired; read from the first one kept")
)

// Record is a record in a stream.
type Record struct {
	Offset int64 `json:"offset"`
	// Time is the time of the append in milliseconds since the epoch. It never decreases.
	Time int64  `json:"time"`
	Data []byte `json:"data"`
}

// Page is the answer to a read.
type Page struct {
	// First is the oldest offset that has not expired.
	First int64 `json:"first"`
	// Next is the offset that the next appended record will get.
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// stream holds the records of a stream. Expired ones are removed by the next read.
type stream struct {
	// first is the offset of the oldest record.
	first   int64
	records []Record
	// appended is closed and replaced by the next append.
	appended chan struct{}
}

// Service is a simulated log service.
type Service struct {
	mu            sync.Mutex
	streams       map[string]*stream
	appendLimiter *rate.Limiter
	retention     time.Duration
	mode          Mode
	delay         time.Duration
	// lastTime is the time of the newest record of all streams, in milliseconds since the epoch.
	lastTime    int64
	appendCalls int
}

// New returns a service that accepts the given rate of append calls and keeps records for the
// retention.
func New(appendsPerSecond float64, retention time.Duration) *Service {
	return &Service{
		streams:       map[string]*stream{},
		appendLimiter: rate.NewLimiter(rate.Limit(appendsPerSecond), max(1, int(appendsPerSecond))),
		retention:     retention,
		mode:          Up,
	}
}

// SetMode sets whether the service works or which failure it simulates.
func (sv *Service) SetMode(mode Mode) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.mode = mode
}

// SetDelay sets the time by which each HTTP request is delayed.
func (sv *Service) SetDelay(delay time.Duration) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.delay = delay
}

// SetRetention sets how long records are kept.
func (sv *Service) SetRetention(retention time.Duration) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.retention = retention
}

// AppendCalls returns the number of append calls executed.
func (sv *Service) AppendCalls() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.appendCalls
}

// Append adds records to a stream and returns the offset of the first one. It fails with ErrDown
// or ErrBusy.
func (sv *Service) Append(name string, data [][]byte) (int64, error) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.mode == Down {
		return 0, ErrDown
	}
	now := time.Now()
	if !sv.appendLimiter.AllowN(now, 1) {
		return 0, ErrBusy
	}
	sv.appendCalls++
	st := sv.stream(name)
	offset := st.first + int64(len(st.records))
	sv.lastTime = max(sv.lastTime, now.UnixMilli())
	for ix, payload := range data {
		st.records = append(st.records, Record{Offset: offset + int64(ix), Time: sv.lastTime, Data: payload})
	}
	close(st.appended)
	st.appended = make(chan struct{})
	return offset, nil
}

// Read returns up to limit records from an offset on. It fails if the offset has expired.
func (sv *Service) Read(name string, from int64, limit int) (Page, error) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.mode == Down {
		return Page{}, ErrDown
	}
	st := sv.stream(name)
	sv.expire(st, time.Now())
	page := Page{First: st.first, Next: st.first + int64(len(st.records))}
	if from < st.first {
		return page, errExpired
	}
	start := min(from-st.first, int64(len(st.records)))
	end := min(start+int64(limit), int64(len(st.records)))
	page.Records = append(page.Records, st.records[start:end]...)
	return page, nil
}

// NextAppend returns a channel that is closed by the next append to a stream.
func (sv *Service) NextAppend(name string) <-chan struct{} {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.stream(name).appended
}

// stream returns the stream of a name, which it creates if it does not exist.
func (sv *Service) stream(name string) *stream {
	st := sv.streams[name]
	if st == nil {
		st = &stream{appended: make(chan struct{})}
		sv.streams[name] = st
	}
	return st
}

// expire removes the records of a stream that are older than the retention.
func (sv *Service) expire(st *stream, now time.Time) {
	cutoff := now.Add(-sv.retention).UnixMilli()
	expired := 0
	for expired < len(st.records) && st.records[expired].Time < cutoff {
		expired++
	}
	st.first += int64(expired)
	st.records = st.records[expired:]
}

// currentFault returns the current mode and delay.
func (sv *Service) currentFault() (Mode, time.Duration) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.mode, sv.delay
}
