package target

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"sync"
)

// Recorder counts the runs of requests over any number of targets. It
// outlives crashes of the targets; its log outlives the process.
type Recorder struct {
	mu            sync.Mutex
	total         int
	nonIdempotent map[string]int
	log           io.Writer
}

// loggedRun is one line of the log of runs.
type loggedRun struct {
	Nonce         string `json:"nonce"`
	NonIdempotent bool   `json:"once,omitempty"`
}

// Runs is what a Recorder has counted.
type Runs struct {
	// Total counts every run.
	Total int `json:"total"`
	// NonIdempotent counts the runs by nonce of the requests that must not run twice.
	NonIdempotent map[string]int `json:"once"`
}

// NewRecorder returns a Recorder that has counted nothing. With a log, each
// run is written to it as one JSON line before it begins.
func NewRecorder(log io.Writer) *Recorder {
	return &Recorder{nonIdempotent: map[string]int{}, log: log}
}

// record counts one run.
func (r *Recorder) record(nonce string, nonIdempotent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.log != nil {
		// A run that can't be logged would be missed by the check: end loudly.
		if err := json.NewEncoder(r.log).Encode(loggedRun{Nonce: nonce, NonIdempotent: nonIdempotent}); err != nil {
			panic(fmt.Errorf("writing the log of runs: %w", err))
		}
	}
	r.total++
	if nonIdempotent {
		r.nonIdempotent[nonce]++
	}
}

// Runs returns a copy of the counts.
func (r *Recorder) Runs() Runs {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Runs{Total: r.total, NonIdempotent: maps.Clone(r.nonIdempotent)}
}

// Merge adds the counts of other to r.
func (r *Runs) Merge(other Runs) {
	r.Total += other.Total
	if r.NonIdempotent == nil {
		r.NonIdempotent = map[string]int{}
	}
	for nonce, n := range other.NonIdempotent {
		r.NonIdempotent[nonce] += n
	}
}

// Duplicates counts the runs beyond the first.
func (r Runs) Duplicates() int {
	n := 0
	for _, runs := range r.NonIdempotent {
		n += max(0, runs-1)
	}
	return n
}

// ReadRunLog counts the runs of a log.
func ReadRunLog(log io.Reader) (Runs, error) {
	runs := Runs{NonIdempotent: map[string]int{}}
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		var run loggedRun
		if err := json.Unmarshal(lines.Bytes(), &run); err != nil {
			return runs, fmt.Errorf("log of runs, line %d: %w", runs.Total+1, err)
		}
		runs.Total++
		if run.NonIdempotent {
			runs.NonIdempotent[run.Nonce]++
		}
	}
	return runs, lines.Err()
}
