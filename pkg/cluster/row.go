package cluster

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
)

const (
	// rowKeyPrefix is the prefix of the keys of the zones' rows.
	rowKeyPrefix = "zones/"
	// rowWriteSpacing is the shortest time between two rounds of the row loop.
	rowWriteSpacing = 150 * time.Millisecond
)

// rowLoop maintains the zone's row in the store: the first watcher writes it and
// the other watchers read it. Any holder whose lease is overdue for renewal writes
// it too.
func (c *Cluster) rowLoop(ctx context.Context) {
	for {
		switch {
		case c.shouldWriteRow():
			c.writeRow(ctx)
		case c.isWatcher():
			_ = c.readRow(ctx)
		}
		if !sleep(ctx, c.jitter(c.rowInterval()), c.rowDue) {
			return
		}
		if !sleep(ctx, rowWriteSpacing, nil) {
			return
		}
	}
}

// rowInterval returns the time until the next read or write of the row. It is
// shorter while a holder is known to have terminated and its shares are to be
// reclaimed.
func (c *Cluster) rowInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reclaimer.HasTerminatedHolder() {
		return c.timing.RenewInterval / 8
	}
	return c.timing.RenewInterval
}

// shouldWriteRow reports whether this instance is to write the row now: it is
// first in rank order, it is leaving and no other member is alive, or its own
// lease is overdue for renewal.
func (c *Cluster) shouldWriteRow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	ranked := c.rankCell(now)
	switch {
	case spread.Position(ranked, c.self.ID) == 0:
		return true
	case c.leaving && len(ranked) == 0:
		return true
	}
	return now.Sub(c.startedAt) > c.timing.RenewInterval && c.ledger.RenewalOverdue(now)
}

// readRow reads the row from the store and applies it if it has changed.
func (c *Cluster) readRow(ctx context.Context) error {
	var got platform.Row
	var changed bool
	err := c.storeGuard.read(ctx, func(ctx context.Context) (err error) {
		got, changed, err = c.cfg.Tables.Get(ctx, rowKeyPrefix+c.cell, c.rowETag)
		return err
	})
	if err != nil || !changed {
		return err
	}
	row, err := allowance.Decode(got.Value)
	if err != nil {
		return err
	}
	c.applyStoredRow(row, got.ETag)
	return nil
}

// applyStoredRow applies row, which the store holds under etag.
func (c *Cluster) applyStoredRow(row *allowance.Row, etag string) {
	c.storedRow, c.rowETag = row, etag
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.observeRow(now, row)
	c.applyShares(now)
}

// writeRow reclaims the shares of one holder if that is allowed, then records
// the heartbeats and the resulting grants in the row. If the write conflicts, it
// reads the row and tries once more.
func (c *Cluster) writeRow(ctx context.Context) {
	if c.rowETag == "" {
		if err := c.readRow(ctx); err != nil {
			return
		}
	}
	c.reclaimOne(ctx)
	next := c.planRow()
	if next == c.storedRow {
		return
	}
	if c.commitRow(ctx, next) {
		return
	}
	if err := c.readRow(ctx); err != nil {
		return
	}
	if next := c.planRow(); next != c.storedRow {
		c.commitRow(ctx, next)
	}
}

// planRow returns the next row according to the recent heartbeats and the tables
// in force, or storedRow itself if nothing is to be written.
func (c *Cluster) planRow() *allowance.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := allowance.PlanInputs{Heartbeats: c.inbox.Recent(time.Now())}
	if t := c.tables.Load(); t != nil {
		in.TablesVersion = t.Version
		in.Limits = allowance.ZoneLimits(t, c.cell)
	}
	return allowance.Plan(c.storedRow, in)
}

// commitRow writes next if the store still holds storedRow. It returns false if
// the row must be read again, because the write conflicted or its result is
// unknown since the reply was lost. It returns true after a successful write, and
// while the store is unavailable.
func (c *Cluster) commitRow(ctx context.Context, next *allowance.Row) bool {
	value, err := next.Encode()
	if err != nil {
		return false
	}
	var etags []string
	err = c.storeGuard.write(ctx, func(ctx context.Context) (err error) {
		etags, err = c.cfg.Tables.Commit(ctx, []platform.Write{{Key: rowKeyPrefix + c.cell, IfMatch: c.rowETag, Value: value}})
		return err
	})
	if err == nil && len(etags) == 1 {
		if next.LayoutVersion != c.storedRow.LayoutVersion {
			defer signal(c.announceDue)
		}
		c.applyStoredRow(next, etags[0])
		return true
	}
	if k := fault.KindOf(err); k == fault.KindStoreUnavailable {
		return true
	}
	return false
}

// reclaimOne requests the consents that reclaims need, and then reclaims the
// shares of the first holder for which that is allowed.
func (c *Cluster) reclaimOne(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	expired := c.reclaimer.ExpiredHolders(now)
	var consents []allowance.ConsentRequest
	c.observeReplacedHolders(now)
	for _, k := range expired {
		consents = append(consents, c.reclaimer.ConsentRequests(now, k)...)
	}
	c.mu.Unlock()
	c.requestConsents(ctx, consents)
	c.mu.Lock()
	var reclaimable *allowance.Holder
	for i := range c.storedRow.Holders {
		if h := &c.storedRow.Holders[i]; c.reclaimer.MayReclaim(time.Now(), h.HolderKey) {
			reclaimable = h
			break
		}
	}
	if reclaimable != nil {
		c.inbox.Remove(reclaimable.HolderKey)
	}
	c.mu.Unlock()
	if reclaimable != nil {
		c.commitRow(ctx, allowance.Reclaim(c.storedRow, reclaimable.HolderKey))
	}
}

// observeReplacedHolders reports to the reclaimer the holders in the row whose
// process must have terminated because a later process uses their address: a
// later incarnation of the same instance, or this instance. Any other difference
// between the view and the row proves nothing, since the view may be older than
// the row. The caller holds mu.
func (c *Cluster) observeReplacedHolders(now time.Time) {
	known := map[string]string{}
	for _, m := range c.view.CellMembers(now, c.cell) {
		if !m.LastSeen.IsZero() {
			known[m.ID] = m.Incarnation
		}
	}
	for i := range c.storedRow.Holders {
		h := &c.storedRow.Holders[i]
		own := h.Address == c.cfg.Self.PeerAddress && h.HolderKey != c.self
		if own || known[h.ID] > h.Incarnation {
			c.reclaimer.ObserveTermination(now, h.HolderKey)
		}
	}
}

// observeRefusedConnection reports to the reclaimer that no process listens at
// the address of to, so neither that incarnation is running nor an earlier one at
// the same address that the row may still hold. The caller holds mu.
func (c *Cluster) observeRefusedConnection(now time.Time, to member.Info) {
	c.reclaimer.ObserveTermination(now, holderKeyOf(to))
	for _, h := range c.ledger.Row().Holders {
		if h.ID == to.ID && h.Address == to.PeerAddress && h.Incarnation < to.Incarnation {
			c.reclaimer.ObserveTermination(now, h.HolderKey)
		}
	}
}

// requestConsents requests the consents from the witnesses, including this
// instance, and passes those that were given to the reclaimer.
func (c *Cluster) requestConsents(ctx context.Context, consents []allowance.ConsentRequest) {
	var wg conc.WaitGroup
	for _, consent := range consents {
		wg.Go(func() {
			if c.requestConsent(ctx, consent) {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.reclaimer.RecordConsent(consent)
			}
		})
	}
	wg.Wait()
}

// requestConsent requests one consent and reports whether it was given.
func (c *Cluster) requestConsent(ctx context.Context, consent allowance.ConsentRequest) bool {
	c.mu.Lock()
	if consent.Witness == c.self {
		defer c.mu.Unlock()
		return c.witness.GrantConsent(time.Now(), consent)
	}
	to, ok := c.findMember(consent.Witness)
	c.mu.Unlock()
	if !ok {
		return false
	}
	r := &instance.WitnessReply{}
	err := c.call(ctx, to, instance.MethodConsent, &instance.ConsentRequest{Consent: consent}, r)
	return err == nil && r.Agreed
}
