// Package poison holds back requests whose attempts keep ending with the
// target's death. A request is known by its fingerprint; each lost target is
// recorded as an event that instances exchange and merge as a set, so merging
// is idempotent and its order does not matter.
package poison

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxLosses is the number of lost targets at which a fingerprint is held.
	MaxLosses = 2
	// HoldDuration is how long a fingerprint is remembered after its last loss.
	HoldDuration = 2 * time.Minute
	// maxEntries bounds the memory; the entry with the oldest loss makes room.
	maxEntries = 1024
	// maxExported bounds the records of one exchange: when connections fail,
	// each lost answer makes a record, and few of them are of any use.
	maxExported = 4
)

// Record is one fingerprint with its losses, for exchange between instances.
type Record struct {
	Fingerprint uint64    `json:"fingerprint"`
	Losses      []Loss    `json:"losses"`
	LastLoss    time.Time `json:"last"`
}

// Loss is one target's death during an attempt.
type Loss struct {
	Target   string `json:"target"`
	Instance string `json:"instance"`
	// Sequence counts the losses that Instance has seen.
	Sequence uint64 `json:"sequence"`
}

type entry struct {
	losses []Loss
	// relayed counts the losses that other instances have answered with. They
	// record them, so these are not exchanged and not added to losses.
	relayed int
	last    time.Time
	running int
}

// Tracker remembers fingerprints with losses. It may be used from several
// goroutines at once.
type Tracker struct {
	instance string
	count    atomic.Int64
	mu       sync.Mutex
	sequence uint64
	entries  map[uint64]*entry
}

// New returns an empty register of the named instance. The name must differ
// between incarnations of an instance.
func New(instance string) *Tracker {
	return &Tracker{instance: instance, entries: make(map[uint64]*entry)}
}

// Start reports whether an attempt of fingerprint may begin at now: it has
// fewer than MaxLosses losses and, once it has any, no other attempt running.
// A counted attempt must end with Abandon, Completed or Lost.
func (r *Tracker) Start(now time.Time, fingerprint uint64) (counted, ok bool) {
	if fingerprint == 0 || r.count.Load() == 0 {
		return false, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[fingerprint]
	if !ok {
		return false, true
	}
	if now.Sub(e.last) >= HoldDuration {
		r.remove(fingerprint)
		return false, true
	}
	if max(len(e.losses), e.relayed) >= MaxLosses || e.running > 0 {
		return false, false
	}
	e.running++
	return true, true
}

// Abandon ends a counted attempt that was never dispatched or told nothing
// about the request.
func (r *Tracker) Abandon(fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.entries[fingerprint]; ok && e.running > 0 {
		e.running--
	}
}

// Complete ends an attempt that the target answered: the request is not poison.
func (r *Tracker) Complete(fingerprint uint64) {
	if fingerprint == 0 || r.count.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(fingerprint)
}

// RecordLoss ends an attempt, counted or not, during which target died.
func (r *Tracker) RecordLoss(now time.Time, fingerprint uint64, target string, counted bool) {
	if fingerprint == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entry(fingerprint)
	if counted && e.running > 0 {
		e.running--
	}
	r.sequence++
	e.add(Loss{Target: target, Instance: r.instance, Sequence: r.sequence})
	e.last = now
}

// RecordRelayedLoss ends an attempt that another instance made and answered with the
// death of a target.
func (r *Tracker) RecordRelayedLoss(now time.Time, fingerprint uint64, counted bool) {
	if fingerprint == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entry(fingerprint)
	if counted && e.running > 0 {
		e.running--
	}
	e.relayed++
	e.last = now
}

// Export returns records whose last loss is after since: first those that are
// held, then the newest.
func (r *Tracker) Export(since time.Time) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var recs []Record
	for fp, e := range r.entries {
		if e.last.After(since) && len(e.losses) > 0 {
			recs = append(recs, Record{Fingerprint: fp, Losses: e.losses, LastLoss: e.last})
		}
	}
	slices.SortFunc(recs, mostUseful)
	recs = recs[:min(maxExported, len(recs))]
	for i := range recs {
		recs[i].Losses = slices.Clone(recs[i].Losses)
	}
	return recs
}

// mostUseful orders records by what they are worth to other instances.
func mostUseful(a, b Record) int {
	return cmp.Or(cmp.Compare(len(b.Losses), len(a.Losses)), b.LastLoss.Compare(a.LastLoss), cmp.Compare(a.Fingerprint, b.Fingerprint))
}

// Merge takes in the records of another instance. A time after now counts as now.
func (r *Tracker) Merge(now time.Time, recs []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range recs {
		if rec.Fingerprint == 0 || now.Sub(rec.LastLoss) >= HoldDuration {
			continue
		}
		e := r.entry(rec.Fingerprint)
		for _, l := range rec.Losses {
			e.add(l)
		}
		last := rec.LastLoss
		if last.After(now) {
			last = now
		}
		if last.After(e.last) {
			e.last = last
		}
	}
}

// entry returns the entry of fingerprint, and makes room for a new one.
func (r *Tracker) entry(fingerprint uint64) *entry {
	if e, ok := r.entries[fingerprint]; ok {
		return e
	}
	if len(r.entries) >= maxEntries {
		r.remove(r.oldest())
	}
	e := &entry{}
	r.entries[fingerprint] = e
	r.count.Store(int64(len(r.entries)))
	return e
}

func (r *Tracker) oldest() uint64 {
	var found uint64
	var at time.Time
	for fp, e := range r.entries {
		if found == 0 || e.last.Before(at) {
			found, at = fp, e.last
		}
	}
	return found
}

func (r *Tracker) remove(fingerprint uint64) {
	delete(r.entries, fingerprint)
	r.count.Store(int64(len(r.entries)))
}

// add records l unless it is known or the entry is held already.
func (e *entry) add(l Loss) {
	if len(e.losses) >= MaxLosses {
		return
	}
	for _, known := range e.losses {
		if known == l {
			return
		}
	}
	e.losses = append(e.losses, l)
}
