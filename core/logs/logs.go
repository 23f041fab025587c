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
	globals.Do(func() {
		zerolog.TimestampFunc = time.Now
		zerolog.TimeFieldFormat = timeFormat
	})
	cw := zerolog.ConsoleWriter{
		Out:        wr,
		NoColor:    true,
		TimeFormat: timeFormat,
		PartsOrder: []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FormatTimestamp: func(value any) string {
			return "time=" + text(value)
		},
		FormatLevel: func(value any) string {
			return "level=" + text(value)
		},
		FormatMessage: func(value any) string {
			return "event=" + text(value)
		},
	}
	return zerolog.New(cw).Level(level).With().Timestamp().
		Str("program", program).Str("host", host).Logger()
}

// text renders a log value that may be absent.
func text(value any) string {
	if st, ok := value.(string); ok {
		return st
	}
	return "none"
}
