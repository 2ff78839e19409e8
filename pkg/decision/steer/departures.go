package steer

import (
	"slices"
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/departure"
)

// peerReport states that a peer has reported a target's leaving notice.
type peerReport struct {
	// noticeAt is when the target sent the notice.
	noticeAt   int64
	reportedBy string
}

// LeavingReport is a target to which this instance sends no new requests because a
// peer has reported its leaving notice.
type LeavingReport struct {
	Target     string
	ReportedBy string
	// Age is the time since the target sent the notice.
	Age time.Duration
}

// departures holds the leaving notices of targets that the instances propagate to
// each other.
type departures struct {
	mu     sync.Mutex
	ledger *departure.Ledger
	// applied has the targets whose peerReport field is set.
	applied []*targetStats
	// newReports are the reports that TakeLeavingReports has not returned yet.
	newReports []LeavingReport
}

// LeavingRecords returns the targets' leaving notices to send with a message of the
// given kind, without those in omit; see departure.Ledger.Export.
func (c *Core) LeavingRecords(now time.Time, message departure.Source, omit []departure.Record) []departure.Record {
	c.departures.mu.Lock()
	defer c.departures.mu.Unlock()
	if c.departures.ledger.Len() == 0 {
		return nil
	}
	c.applyDepartures(now)
	return c.departures.ledger.Export(now, message, omit)
}

// MergeLeaving records the leaving notices that the peer reportedBy has sent, and
// applies them.
func (c *Core) MergeLeaving(now time.Time, source departure.Source, reportedBy string, recs []departure.Record) {
	c.departures.mu.Lock()
	defer c.departures.mu.Unlock()
	snap := c.snapshot.Load()
	for _, rec := range recs {
		if t, ok := snap.targets[rec.Target]; ok {
			c.departures.ledger.Merge(now, source, reportedBy, rec, t.departureView())
		}
	}
	c.applyDepartures(now)
}

// TakeLeavingReports returns the targets that have begun to count as leaving since the
// last call because of peers' reports.
func (c *Core) TakeLeavingReports() []LeavingReport {
	c.departures.mu.Lock()
	defer c.departures.mu.Unlock()
	reports := c.departures.newReports
	c.departures.newReports = nil
	return reports
}

// recordOwnNotice records the leaving notice that target has sent to this instance, to
// propagate it.
func (c *Core) recordOwnNotice(now time.Time, target string) {
	t, ok := c.snapshot.Load().targets[target]
	if !ok {
		return
	}
	c.departures.mu.Lock()
	defer c.departures.mu.Unlock()
	c.departures.ledger.RecordOwn(now, t.departureView())
}

// updateDepartures drops the records that no longer apply and applies the others to the
// tables in force.
func (c *Core) updateDepartures(now time.Time) {
	c.departures.mu.Lock()
	defer c.departures.mu.Unlock()
	c.applyDepartures(now)
}

// applyDepartures drops the records that no longer apply and sets the peerReport fields
// of the targets in force to what the remaining records exclude. The caller holds
// departures.mu.
func (c *Core) applyDepartures(now time.Time) {
	d := &c.departures
	if d.ledger.Len() == 0 && len(d.applied) == 0 {
		return
	}
	snap := c.snapshot.Load()
	var applied []*targetStats
	for _, e := range d.ledger.Exclude(now, snap.departurePools(d.ledger.Targets())) {
		s := snap.targets[e.Target].targetStats
		applied = append(applied, s)
		if s.peerReport.Load() == nil {
			s.peerReport.Store(&peerReport{noticeAt: c.nanos(e.NoticeAt), reportedBy: e.ReportedBy})
			d.newReports = append(d.newReports, LeavingReport{Target: e.Target, ReportedBy: e.ReportedBy, Age: now.Sub(e.NoticeAt)})
		}
	}
	for _, s := range d.applied {
		if !slices.Contains(applied, s) {
			s.peerReport.Store(nil)
		}
	}
	d.applied = applied
}

// departurePools returns the pools of the named targets.
func (snap *snapshot) departurePools(names []string) [][]departure.Target {
	var pools [][]departure.Target
	seen := make(map[string]bool)
	for _, name := range names {
		t, ok := snap.targets[name]
		if !ok || seen[t.pool] {
			continue
		}
		seen[t.pool] = true
		pools = append(pools, snap.pools[t.pool].departureViews())
	}
	return pools
}

// departureViews returns the pool's targets that this instance dispatches to.
func (p *pool) departureViews() []departure.Target {
	views := make([]departure.Target, len(p.targets))
	for i, t := range p.targets {
		views[i] = t.departureView()
	}
	return views
}

// departureView returns the target as this instance knows it without the reports of
// peers.
func (t *target) departureView() departure.Target {
	v := departure.Target{Name: t.row.Name, Entry: t.row.EntryVersion, Drained: t.drain, Leaving: t.leaving.Load()}
	if incarnation := t.incarnation.Load(); incarnation != nil {
		v.Incarnation = *incarnation
	}
	return v
}
