package logsvc

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// Mode is a fault that the service shows.
type Mode string

// Modes.
const (
	Up Mode = "up"
	// Down refuses everything.
	Down Mode = "down"
	// Silent answers nothing.
	Silent Mode = "silent"
	// LoseAnswers carries out appends and answers none of them.
	LoseAnswers Mode = "lose_answers"
)

// Errors of the service.
var (
	ErrBusy   = errors.New("logsvc: too many appends a second; come back later")
	ErrDown   = errors.New("logsvc: the service is down; come back later")
	errAbsent = errors.New("logsvc: the offset has expired; read from the first one kept")
)

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Time   int64  `json:"time"`
	Data   []byte `json:"data"`
}

// Page is the answer to a read.
type Page struct {
	// First is the oldest offset kept.
	First int64 `json:"first"`
	// Next is the offset of the next append.
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// stream is an ordered list of records, of which the oldest may have expired.
type stream struct {
	first   int64
	records []Record
	grown   chan struct{}
}

// Service holds the streams.
type Service struct {
	mu        sync.Mutex
	streams   map[string]*stream
	appends   *rate.Limiter
	retention time.Duration
	mode      Mode
	delay     time.Duration
	lastTime  int64
	count     int
}

// New returns a service that takes so many appends a second and keeps records for the retention.
func New(appendsPerSecond float64, retention time.Duration) *Service {
	return &Service{
		streams:   map[string]*stream{},
		appends:   rate.NewLimiter(rate.Limit(appendsPerSecond), max(1, int(appendsPerSecond))),
		retention: retention,
		mode:      Up,
	}
}

// SetMode switches a fault on or off.
func (sv *Service) SetMode(mode Mode) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.mode = mode
}

// SetDelay makes each call take longer.
func (sv *Service) SetDelay(delay time.Duration) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.delay = delay
}

// SetRetention changes how long records are kept.
func (sv *Service) SetRetention(retention time.Duration) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.retention = retention
}

// Appends returns the number of append calls carried out.
func (sv *Service) Appends() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.count
}

// Append adds records to a stream and returns the offset of the first.
func (sv *Service) Append(name string, data [][]byte) (int64, error) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.mode == Down {
		return 0, ErrDown
	}
	now := time.Now()
	if !sv.appends.AllowN(now, 1) {
		return 0, ErrBusy
	}
	sv.count++
	st := sv.stream(name)
	offset := st.first + int64(len(st.records))
	sv.lastTime = max(sv.lastTime, now.UnixMilli())
	for ix, part := range data {
		st.records = append(st.records, Record{Offset: offset + int64(ix), Time: sv.lastTime, Data: part})
	}
	close(st.grown)
	st.grown = make(chan struct{})
	return offset, nil
}

// Read returns records from an offset; it fails where the offset has expired.
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
		return page, errAbsent
	}
	start := min(from-st.first, int64(len(st.records)))
	end := min(start+int64(limit), int64(len(st.records)))
	page.Records = append(page.Records, st.records[start:end]...)
	return page, nil
}

// Grown returns a channel that closes with the next append to a stream.
func (sv *Service) Grown(name string) <-chan struct{} {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.stream(name).grown
}

// stream returns a stream and makes it where it is new.
func (sv *Service) stream(name string) *stream {
	st := sv.streams[name]
	if st == nil {
		st = &stream{grown: make(chan struct{})}
		sv.streams[name] = st
	}
	return st
}

// expire drops records older than the retention.
func (sv *Service) expire(st *stream, now time.Time) {
	limit := now.Add(-sv.retention).UnixMilli()
	drop := 0
	for drop < len(st.records) && st.records[drop].Time < limit {
		drop++
	}
	st.first += int64(drop)
	st.records = st.records[drop:]
}

// fault returns the mode and the delay in force.
func (sv *Service) fault() (Mode, time.Duration) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.mode, sv.delay
}
