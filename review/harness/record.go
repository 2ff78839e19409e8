package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that lists what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// add appends a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

func (r *record) close() { _ = r.file.Close() }
