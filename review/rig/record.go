package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what happens, with the seconds since its start, to a file.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, start: time.Now()}, err
}

// Add writes one line.
func (rc *Record) Add(format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_, _ = fmt.Fprintf(rc.file, "%8.3f %s\n", time.Since(rc.start).Seconds(), fmt.Sprintf(format, args...))
}
