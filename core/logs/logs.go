package logs

import (
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// timeFormat shows milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// globals sets the library's settings once.
var globals sync.Once

// New returns a logger that writes lines of key=value pairs to wr, each naming the program and host.
func New(wr io.Writer, level zerolog.Level, program, host string) zerolog.Logger {
	return logger(&lineWriter{out: wr}, level, program, host)
}

// NewBounded returns a logger whose lines go through a sink that never blocks.
func NewBounded(si *Sink, level zerolog.Level, program, host string) zerolog.Logger {
	return logger(si, level, program, host)
}

// logger builds a logger on a writer that takes the library's JSON objects.
func logger(wr io.Writer, level zerolog.Level, program, host string) zerolog.Logger {
	globals.Do(func() {
		zerolog.TimestampFunc = time.Now
		zerolog.TimeFieldFormat = timeFormat
		zerolog.DurationFieldInteger = true
	})
	return zerolog.New(wr).Level(level).With().Timestamp().
		Str("program", program).Str("host", host).Logger()
}

// lineWriter writes each line at once.
type lineWriter struct {
	mu  sync.Mutex
	out io.Writer
	buf []byte
}

// Write renders one JSON object as a line.
func (lw *lineWriter) Write(object []byte) (int, error) {
	lw.mu.Lock()
	defer lw.mu.Unlock()
	lw.buf = appendLine(lw.buf[:0], object)
	if _, err := lw.out.Write(lw.buf); err != nil {
		return 0, err
	}
	return len(object), nil
}
