package target

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"sync"
)

// Recorder counts the runs of requests on any number of targets. Its counts
// survive crashes of the targets, and its log survives the end of the process. It
// is safe for concurrent use.
type Recorder struct {
	mu            sync.Mutex
	total         int
	nonIdempotent map[string]int
	log           io.Writer
}

// loggedRun is one line of the run log.
type loggedRun struct {
	Nonce         string `json:"nonce"`
	NonIdempotent bool   `json:"once,omitempty"`
}

// Runs holds the numbers of runs that a Recorder has counted.
type Runs struct {
	// Total counts every run.
	Total int `json:"total"`
	// NonIdempotent counts the runs of each non-idempotent request, by nonce.
	NonIdempotent map[string]int `json:"once"`
}

// NewRecorder returns a Recorder without runs. If log is not nil, the Recorder
// writes each run to it as one line of JSON before the run begins.
func NewRecorder(log io.Writer) *Recorder {
	return &Recorder{nonIdempotent: map[string]int{}, log: log}
}

// record logs and counts one run.
func (r *Recorder) record(nonce string, nonIdempotent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.log != nil {
		// Panic, because the check for duplicate runs would miss a run that is not
		// in the log.
		if err := json.NewEncoder(r.log).Encode(loggedRun{Nonce: nonce, NonIdempotent: nonIdempotent}); err != nil {
			panic(fmt.Errorf("cannot write the run log: %w", err))
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

// Duplicates returns how often non-idempotent requests ran again after their first
// run, summed over all of them.
func (r Runs) Duplicates() int {
	n := 0
	for _, runs := range r.NonIdempotent {
		n += max(0, runs-1)
	}
	return n
}

// ReadRunLog counts the runs in a run log.
func ReadRunLog(log io.Reader) (Runs, error) {
	runs := Runs{NonIdempotent: map[string]int{}}
	scanner := bufio.NewScanner(log)
	for scanner.Scan() {
		var run loggedRun
		if err := json.Unmarshal(scanner.Bytes(), &run); err != nil {
			return runs, fmt.Errorf("run log, line %d: %w", runs.Total+1, err)
		}
		runs.Total++
		if run.NonIdempotent {
			runs.NonIdempotent[run.Nonce]++
		}
	}
	return runs, scanner.Err()
}
