package logs

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// configureOnce makes sure that the global settings of zerolog are written only once.
var configureOnce sync.Once

// New returns a logger that writes lines of key=value pairs to wr. Each line contains the program
// and the host.
func New(wr io.Writer, level zerolog.Level, program, host string) zerolog.Logger {
	return newLogger(&lineWriter{out: wr}, level, program, host)
}

// NewWithSink returns a logger that writes through a sink, so that logging never blocks.
func NewWithSink(si *Sink, level zerolog.Level, program, host string) zerolog.Logger {
	return newLogger(si, level, program, host)
}

// newLogger returns a logger that writes zerolog's JSON objects to wr.
func newLogger(wr io.Writer, level zerolog.Level, program, host string) zerolog.Logger {
	configureOnce.Do(func() {
		zerolog.TimestampFunc = time.Now
		zerolog.TimeFieldFormat = timeFormat
		zerolog.DurationFieldInteger = true
	})
	return zerolog.New(wr).Level(level).With().Timestamp().
		Str("program", program).Str("host", host).Logger()
}

// lineWriter writes each event to out immediately, as a line of key=value pairs.
type lineWriter struct {
	mu  sync.Mutex
	out io.Writer
	buf []byte
}

// Write converts one JSON object to a line and writes it.
func (lw *lineWriter) Write(object []byte) (int, error) {
	lw.mu.Lock()
	defer lw.mu.Unlock()
	lw.buf = appendLine(lw.buf[:0], object)
	if _, err := lw.out.Write(lw.buf); err != nil {
		return 0, err
	}
	return len(object), nil
}
