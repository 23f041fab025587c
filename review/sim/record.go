package sim

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is a file of events in the order in which they happened. It is created by NewRecord.
type Record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	buf  *bufio.Writer
}

// NewRecord creates or replaces the file.
func NewRecord(file string) (*Record, error) {
	fi, err := os.Create(file)
	if err != nil {
		return nil, fmt.Errorf("sim: create record: %w", err)
	}
	return &Record{start: time.Now(), file: fi, buf: bufio.NewWriter(fi)}, nil
}

// Printf adds a line, preceded by the seconds since the start.
func (re *Record) Printf(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	// A failed write shows when the file is closed.
	_, _ = fmt.Fprintf(re.buf, "%8.3f  %s\n", time.Since(re.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close writes what is buffered and closes the file.
func (re *Record) Close() error {
	re.mu.Lock()
	defer re.mu.Unlock()
	return errors.Join(re.buf.Flush(), re.file.Close())
}
