// Package poison detects requests whose attempts repeatedly end with the loss of
// the target, and refuses further attempts. A request is identified by its
// fingerprint. Each lost target is recorded as an event that instances exchange
// and merge as a set, so merging is idempotent and commutative.
package poison

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxLosses is the number of losses at which a fingerprint is held: no further
	// attempt may start.
	MaxLosses = 2
	// HoldDuration is how long a fingerprint is kept after its last loss.
	HoldDuration = 2 * time.Minute
	// maxEntries bounds the memory. A new entry replaces the one whose last loss is
	// the oldest.
	maxEntries = 1024
	// maxExportedRecords bounds the records of one exchange: when connections fail,
	// each lost response creates a record, and few of them are useful.
	maxExportedRecords = 4
)

// Record holds a fingerprint and its losses, for exchange between instances.
type Record struct {
	Fingerprint uint64    `json:"fingerprint"`
	Losses      []Loss    `json:"losses"`
	LastLoss    time.Time `json:"last"`
}

// Loss is the loss of a target during an attempt. Instance and Sequence identify it.
type Loss struct {
	Target   string `json:"target"`
	Instance string `json:"instance"`
	// Sequence numbers the losses that Instance has recorded, from 1.
	Sequence uint64 `json:"sequence"`
}

// entry holds what is recorded for one fingerprint.
type entry struct {
	losses []Loss
	// relayedLosses counts the losses that other instances have reported in their
	// responses. Those instances record the losses, so this one neither exchanges
	// them nor adds them to losses.
	relayedLosses int
	lastLoss      time.Time
	// activeAttempts is the number of counted attempts in progress.
	activeAttempts int
}

// Tracker records the losses of fingerprints. It is safe for concurrent use.
type Tracker struct {
	instance string
	// entryCount is the number of entries, for a check without mu.
	entryCount atomic.Int64
	mu         sync.Mutex
	sequence   uint64
	entries    map[uint64]*entry
}

// New returns an empty Tracker for the named instance. The name must differ
// between incarnations of an instance.
func New(instance string) *Tracker {
	return &Tracker{instance: instance, entries: make(map[uint64]*entry)}
}

// Start reports whether an attempt of fingerprint may start at now: it must have
// fewer than MaxLosses losses and, once it has any, no other attempt in progress.
// A counted attempt must end with Abandon, Complete, RecordLoss or
// RecordRelayedLoss.
func (t *Tracker) Start(now time.Time, fingerprint uint64) (counted, ok bool) {
	if fingerprint == 0 || t.entryCount.Load() == 0 {
		return false, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[fingerprint]
	if !ok {
		return false, true
	}
	if now.Sub(e.lastLoss) >= HoldDuration {
		t.remove(fingerprint)
		return false, true
	}
	if max(len(e.losses), e.relayedLosses) >= MaxLosses || e.activeAttempts > 0 {
		return false, false
	}
	e.activeAttempts++
	return true, true
}

// Abandon ends a counted attempt that was never dispatched, or whose outcome does
// not show whether the request is poison.
func (t *Tracker) Abandon(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[fingerprint]; ok && e.activeAttempts > 0 {
		e.activeAttempts--
	}
}

// Complete ends an attempt to which the target responded, and removes the
// fingerprint: the request is not poison.
func (t *Tracker) Complete(fingerprint uint64) {
	if fingerprint == 0 || t.entryCount.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(fingerprint)
}

// RecordLoss ends an attempt, counted or not, during which target was lost.
func (t *Tracker) RecordLoss(now time.Time, fingerprint uint64, target string, counted bool) {
	if fingerprint == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.getOrCreate(fingerprint)
	if counted && e.activeAttempts > 0 {
		e.activeAttempts--
	}
	t.sequence++
	e.addLoss(Loss{Target: target, Instance: t.instance, Sequence: t.sequence})
	e.lastLoss = now
}

// RecordRelayedLoss ends an attempt that another instance made and for which it
// reported the loss of a target.
func (t *Tracker) RecordRelayedLoss(now time.Time, fingerprint uint64, counted bool) {
	if fingerprint == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.getOrCreate(fingerprint)
	if counted && e.activeAttempts > 0 {
		e.activeAttempts--
	}
	e.relayedLosses++
	e.lastLoss = now
}

// Export returns up to maxExportedRecords records whose last loss is after since,
// in the order of compareRecords.
func (t *Tracker) Export(since time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var recs []Record
	for fp, e := range t.entries {
		if e.lastLoss.After(since) && len(e.losses) > 0 {
			recs = append(recs, Record{Fingerprint: fp, Losses: e.losses, LastLoss: e.lastLoss})
		}
	}
	slices.SortFunc(recs, compareRecords)
	recs = recs[:min(maxExportedRecords, len(recs))]
	for i := range recs {
		recs[i].Losses = slices.Clone(recs[i].Losses)
	}
	return recs
}

// compareRecords orders records by their use to other instances: those with more
// losses first, then those with the most recent loss.
func compareRecords(a, b Record) int {
	return cmp.Or(cmp.Compare(len(b.Losses), len(a.Losses)), b.LastLoss.Compare(a.LastLoss), cmp.Compare(a.Fingerprint, b.Fingerprint))
}

// Merge adds the records of another instance. A time after now counts as now.
func (t *Tracker) Merge(now time.Time, recs []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, rec := range recs {
		if rec.Fingerprint == 0 || now.Sub(rec.LastLoss) >= HoldDuration {
			continue
		}
		e := t.getOrCreate(rec.Fingerprint)
		for _, l := range rec.Losses {
			e.addLoss(l)
		}
		lastLoss := rec.LastLoss
		if lastLoss.After(now) {
			lastLoss = now
		}
		if lastLoss.After(e.lastLoss) {
			e.lastLoss = lastLoss
		}
	}
}

// getOrCreate returns the entry of fingerprint. If there is none, it creates one,
// and removes the oldest entry when there are maxEntries. The caller holds mu.
func (t *Tracker) getOrCreate(fingerprint uint64) *entry {
	if e, ok := t.entries[fingerprint]; ok {
		return e
	}
	if len(t.entries) >= maxEntries {
		t.remove(t.oldestFingerprint())
	}
	e := &entry{}
	t.entries[fingerprint] = e
	t.entryCount.Store(int64(len(t.entries)))
	return e
}

// oldestFingerprint returns the fingerprint whose last loss is the oldest. The
// caller holds mu.
func (t *Tracker) oldestFingerprint() uint64 {
	var found uint64
	var oldest time.Time
	for fp, e := range t.entries {
		if found == 0 || e.lastLoss.Before(oldest) {
			found, oldest = fp, e.lastLoss
		}
	}
	return found
}

// remove deletes the entry of fingerprint. The caller holds mu.
func (t *Tracker) remove(fingerprint uint64) {
	delete(t.entries, fingerprint)
	t.entryCount.Store(int64(len(t.entries)))
}

// addLoss adds l unless the entry already contains it or has MaxLosses losses.
func (e *entry) addLoss(l Loss) {
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
