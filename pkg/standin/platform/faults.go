package platform

import (
	"context"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Faults are the injected faults of the store. The zero value is a store without
// faults.
type Faults struct {
	// Down refuses every call; no call takes effect.
	Down bool `json:"down" yaml:"down"`
	// Unresponsive blocks every call until its caller gives up; no call takes
	// effect.
	Unresponsive bool `json:"silent" yaml:"silent"`
	// Delay is added to every call, half before it takes effect and half after.
	Delay table.Duration `json:"delay" yaml:"delay"`
	// LoseResponses is how many of the next successful transactions take effect
	// without a response.
	LoseResponses int `json:"lose_answers" yaml:"lose_answers"`
	// LoseCommits is how many of the next transactions take no effect and get no
	// response.
	LoseCommits int `json:"lose_commits" yaml:"lose_commits"`
	// ListLag is the age of the list of instances that the store returns.
	ListLag table.Duration `json:"list_lag" yaml:"list_lag"`
	// ListFrozen makes the store always return the list that it returned when the
	// fault was switched on.
	ListFrozen bool `json:"list_frozen" yaml:"list_frozen"`
	// ReadsPerSecond and WritesPerSecond are the rate limits above which calls are
	// refused. Zero means no limit.
	ReadsPerSecond  int `json:"reads_per_second" yaml:"reads_per_second"`
	WritesPerSecond int `json:"writes_per_second" yaml:"writes_per_second"`
}

// Stats holds the counters of the store.
type Stats struct {
	Reads         uint64 `json:"reads"`
	Writes        uint64 `json:"writes"`
	NotModified   uint64 `json:"not_modified"`
	Conflicts     uint64 `json:"conflicts"`
	Refused       uint64 `json:"refused"`
	LostResponses uint64 `json:"lost_answers"`
	// PeakReads and PeakWrites are the largest numbers of calls within one clock
	// second.
	PeakReads  int `json:"peak_reads_per_second"`
	PeakWrites int `json:"peak_writes_per_second"`
}

// operationKind is the kind of a call: a read or a write.
type operationKind uint8

const (
	opRead operationKind = iota
	opWrite
)

// rateWindow counts the calls of the current clock second.
type rateWindow struct {
	second        int64
	reads, writes int
}

// Faults returns the faults that are switched on.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFaults(f)
}

// EditFaults applies edit to the faults.
func (s *Store) EditFaults(edit func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	edit(&f)
	s.setFaults(f)
}

func (s *Store) setFaults(f Faults) {
	if f.ListFrozen && !s.faults.ListFrozen {
		s.list.freeze(s.now().Add(-f.ListLag.Std()))
	}
	s.faults = f
}

// Stats returns the counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// beginCall counts a call and applies the faults that precede its effect.
func (s *Store) beginCall(ctx context.Context, op operationKind) error {
	s.mu.Lock()
	f := s.faults
	withinLimit := s.countCall(op)
	if f.Down || !withinLimit {
		s.stats.Refused++
	}
	s.mu.Unlock()
	if f.Down {
		return fault.New(fault.KindStoreUnavailable, "store is down, call refused")
	}
	if !withinLimit {
		return fault.New(fault.KindStoreUnavailable, "rate limit of the store exceeded, call refused")
	}
	if f.Unresponsive {
		<-ctx.Done()
		return s.abandonedCallError(ctx, op)
	}
	if !sleep(ctx, f.Delay.Std()/2) {
		return s.abandonedCallError(ctx, op)
	}
	return nil
}

// abandonedCallError returns the error of a call whose context ended before it took
// effect. For a write it is ambiguous, because the caller cannot determine that.
func (s *Store) abandonedCallError(ctx context.Context, op operationKind) error {
	if op == opWrite {
		return fault.Wrap(fault.KindStoreAmbiguous, ctx.Err(), "the call ended before the store responded")
	}
	return fault.Wrap(fault.KindStoreUnavailable, ctx.Err(), "the call ended before the store responded")
}

// finishCall applies the delay after a call's effect.
func (s *Store) finishCall(ctx context.Context) error {
	if !sleep(ctx, s.Faults().Delay.Std()/2) {
		return fault.Wrap(fault.KindStoreUnavailable, ctx.Err(), "the call ended before the store responded")
	}
	return nil
}

// countCall counts one call and reports whether it is within the rate limit of
// the current clock second. The caller holds mu.
func (s *Store) countCall(op operationKind) bool {
	if now := s.now().Unix(); now != s.window.second {
		s.window = rateWindow{second: now}
	}
	if op == opRead {
		s.stats.Reads++
		s.window.reads++
		s.stats.PeakReads = max(s.stats.PeakReads, s.window.reads)
		return s.faults.ReadsPerSecond == 0 || s.window.reads <= s.faults.ReadsPerSecond
	}
	s.stats.Writes++
	s.window.writes++
	s.stats.PeakWrites = max(s.stats.PeakWrites, s.window.writes)
	return s.faults.WritesPerSecond == 0 || s.window.writes <= s.faults.WritesPerSecond
}

// consumeLostCommit reports whether to lose the current transaction, and if so
// decrements LoseCommits.
func (s *Store) consumeLostCommit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseCommits == 0 {
		return false
	}
	s.faults.LoseCommits--
	return true
}

// sleep waits for d. It reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
