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
	// rowKeyPrefix starts the keys of the zones' rows.
	rowKeyPrefix = "zones/"
	// rowWriteSpacing is the least time between two writes of the row.
	rowWriteSpacing = 150 * time.Millisecond
)

// rowLoop writes the zone's row as the first of the watchers, reads it as one
// of the others, and writes it as any holder whose lease nobody renews.
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

// rowInterval returns the time to the next look at the row, which is short while
// a reclaim is near.
func (c *Cluster) rowInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reclaimer.Waiting() {
		return c.timing.RenewInterval / 8
	}
	return c.timing.RenewInterval
}

// shouldWriteRow reports whether this instance should write the row now.
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
	return now.Sub(c.startedAt) > c.timing.RenewInterval && c.ledger.Overdue(now)
}

// readRow takes in the row when it has changed.
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

// applyStoredRow takes in that the store holds row.
func (c *Cluster) applyStoredRow(row *allowance.Row, etag string) {
	c.storedRow, c.rowETag = row, etag
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.observeRow(now, row)
	c.applyShares(now)
}

// writeRow reclaims what may be reclaimed and records the heartbeats.
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

// planRow makes the next row from the newest heartbeats.
func (c *Cluster) planRow() *allowance.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := allowance.Inputs{Heartbeats: c.inbox.Fresh(time.Now())}
	if t := c.tables.Load(); t != nil {
		in.Tables = t.Version
		in.Limits = allowance.ZoneLimits(t, c.cell)
	}
	return allowance.Plan(c.storedRow, in)
}

// commitRow writes next when the store still holds c.row, and reports whether
// it did. An answer that was lost is resolved by reading back.
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
		if next.Layout != c.storedRow.Layout {
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

// reclaimOne asks for what a reclaim needs and removes one holder when it may.
func (c *Cluster) reclaimOne(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	silent := c.reclaimer.Silent(now)
	var asks []allowance.Consent
	c.observeReplacedHolders(now)
	for _, k := range silent {
		asks = append(asks, c.reclaimer.Consents(now, k)...)
	}
	c.mu.Unlock()
	c.requestConsents(ctx, asks)
	c.mu.Lock()
	var gone *allowance.Holder
	for i := range c.storedRow.Holders {
		if h := &c.storedRow.Holders[i]; c.reclaimer.MayReclaim(time.Now(), h.Key) {
			gone = h
			break
		}
	}
	if gone != nil {
		c.inbox.Forget(gone.Key)
	}
	c.mu.Unlock()
	if gone != nil {
		c.commitRow(ctx, allowance.Reclaim(c.storedRow, gone.Key))
	}
}

// observeReplacedHolders takes in that a holder's process has ended when a later process
// is known to use its address: a later incarnation of the instance, or this
// one. What is known of the others may be older than the row. The caller holds
// mu.
func (c *Cluster) observeReplacedHolders(now time.Time) {
	later := map[string]string{}
	for _, m := range c.view.Cell(now, c.cell) {
		if !m.Heard.IsZero() {
			later[m.ID] = m.Incarnation
		}
	}
	for i := range c.storedRow.Holders {
		h := &c.storedRow.Holders[i]
		own := h.Address == c.cfg.Self.PeerAddress && h.Key != c.self
		if own || later[h.ID] > h.Incarnation {
			c.reclaimer.ObserveDeath(now, h.Key)
		}
	}
}

// observeRefusedConnection takes in that nothing listens at the address of to: neither that
// incarnation nor an earlier one of the instance, which the row may still hold,
// is running. The caller holds mu.
func (c *Cluster) observeRefusedConnection(now time.Time, to member.Info) {
	c.reclaimer.ObserveDeath(now, keyOf(to))
	for _, h := range c.ledger.Row().Holders {
		if h.ID == to.ID && h.Address == to.PeerAddress && h.Incarnation < to.Incarnation {
			c.reclaimer.ObserveDeath(now, h.Key)
		}
	}
}

// requestConsents asks the witnesses, this instance included.
func (c *Cluster) requestConsents(ctx context.Context, asks []allowance.Consent) {
	var wg conc.WaitGroup
	for _, a := range asks {
		wg.Go(func() {
			if c.requestConsent(ctx, a) {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.reclaimer.Consented(a)
			}
		})
	}
	wg.Wait()
}

func (c *Cluster) requestConsent(ctx context.Context, a allowance.Consent) bool {
	c.mu.Lock()
	if a.Witness == c.self {
		defer c.mu.Unlock()
		return c.witness.Consent(time.Now(), a)
	}
	to, ok := c.findMember(a.Witness)
	c.mu.Unlock()
	if !ok {
		return false
	}
	r := &instance.AgreeReply{}
	err := c.call(ctx, to, instance.MethodConsent, &instance.ConsentRequest{Consent: a}, r)
	return err == nil && r.Agreed
}
