package target

import (
	"maps"
	"sync"
)

// Recorder counts the runs of requests over any number of targets. It
// outlives crashes of the targets.
type Recorder struct {
	mu    sync.Mutex
	total int
	once  map[string]int
}

// Runs is what a Recorder has counted.
type Runs struct {
	// Total counts every run.
	Total int `json:"total"`
	// Once counts the runs by nonce of the requests that must not run twice.
	Once map[string]int `json:"once"`
}

// NewRecorder returns a Recorder that has counted nothing.
func NewRecorder() *Recorder { return &Recorder{once: map[string]int{}} }

// add counts one run.
func (r *Recorder) add(nonce string, once bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if once {
		r.once[nonce]++
	}
}

// Runs returns a copy of the counts.
func (r *Recorder) Runs() Runs {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Runs{Total: r.total, Once: maps.Clone(r.once)}
}

// Merge adds the counts of other to r.
func (r *Runs) Merge(other Runs) {
	r.Total += other.Total
	if r.Once == nil {
		r.Once = map[string]int{}
	}
	for nonce, n := range other.Once {
		r.Once[nonce] += n
	}
}

// Duplicates counts the runs beyond the first.
func (r Runs) Duplicates() int {
	n := 0
	for _, runs := range r.Once {
		n += max(0, runs-1)
	}
	return n
}
