package cluster

import (
	"context"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/decision/ratelimit"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
)

const (
	// summaryTTL is how long a summary or report is used without a newer one.
	summaryTTL = 5 * time.Second
	// cellTimeout is the time after its last report at which a cell counts as
	// unreachable.
	cellTimeout = 4500 * time.Millisecond
)

// zoneReports holds the headroom summaries of this cell's instances and the
// reports of the other cells. It is not safe for concurrent use.
type zoneReports struct {
	cell     string
	local    map[string]instanceSummaries
	received map[string]receivedReport
}

// instanceSummaries is one instance's contribution to this cell's headroom.
type instanceSummaries struct {
	at   time.Time // of receipt
	list []instance.Summary
}

// receivedReport is the latest report of another cell.
type receivedReport struct {
	at     time.Time // of its creation, by the age that it was received with
	report instance.ZoneReport
}

func newZoneReports(cell string) *zoneReports {
	return &zoneReports{cell: cell, local: map[string]instanceSummaries{}, received: map[string]receivedReport{}}
}

// observeLocal records one instance's contribution to this cell's headroom.
func (z *zoneReports) observeLocal(now time.Time, id string, list []instance.Summary) {
	z.local[id] = instanceSummaries{at: now, list: list}
}

// observeReport records another cell's report if it is newer than the one held.
func (z *zoneReports) observeReport(now time.Time, r instance.ZoneReport) {
	at := now.Add(-ageOf(r.AgeMS))
	if r.Zone == z.cell || !at.After(z.received[r.Zone].at) {
		return
	}
	z.received[r.Zone] = receivedReport{at: at, report: r}
}

// maxAge bounds the age that a message states, beyond which all is out of use.
const maxAge = time.Hour

// ageOf returns an age in milliseconds, as messages state it, as a duration from 0 to
// maxAge.
func ageOf(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), maxAge.Milliseconds())) * time.Millisecond
}

// unreachable reports whether the last report of cell is older than cellTimeout.
func (z *zoneReports) unreachable(now time.Time, cell string) bool {
	return now.Sub(z.received[cell].at) > cellTimeout
}

// localTotals returns the sums of the instances' contributions, by pool. It
// drops those older than summaryTTL.
func (z *zoneReports) localTotals(now time.Time) []instance.Summary {
	byPool := map[string]*instance.Summary{}
	for id, contribution := range z.local {
		if now.Sub(contribution.at) > summaryTTL {
			delete(z.local, id)
			continue
		}
		for _, s := range contribution.list {
			addSummary(byPool, z.cell, s)
		}
	}
	out := make([]instance.Summary, 0, len(byPool))
	for _, s := range byPool {
		out = append(out, *s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Pool < out[j].Pool })
	return out
}

// addSummary adds s to the sum of its pool in byPool.
func addSummary(byPool map[string]*instance.Summary, cell string, s instance.Summary) {
	if sum := byPool[s.Pool]; sum != nil {
		sum.Add(s.ZoneSummary)
		return
	}
	s.Zone = cell
	byPool[s.Pool] = &s
}

// freshReports returns the reports of the other cells with their ages, sorted by
// cell.
// It drops those older than summaryTTL.
func (z *zoneReports) freshReports(now time.Time) []instance.ZoneReport {
	var out []instance.ZoneReport
	for cell, latest := range z.received {
		age := now.Sub(latest.at)
		if age > summaryTTL {
			delete(z.received, cell)
			continue
		}
		r := latest.report
		r.AgeMS = age.Milliseconds()
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Zone < out[j].Zone })
	return out
}

// summaries returns the headroom of this cell, as far as it is known here, and of
// the other cells.
func (z *zoneReports) summaries(now time.Time) []steer.ZoneSummary {
	var out []steer.ZoneSummary
	for _, s := range z.localTotals(now) {
		s.At = now
		out = append(out, s.ZoneSummary)
	}
	for _, r := range z.freshReports(now) {
		for _, s := range r.Summaries {
			s.At = now.Add(-ageOf(r.AgeMS) - ageOf(s.AgeMS))
			s.Zone = r.Zone
			out = append(out, s.ZoneSummary)
		}
	}
	return out
}

// findUnreachableCells returns, sorted, the other cells of the instances in list
// from which no recent report exists. The caller holds mu.
func (c *Cluster) findUnreachableCells(now time.Time, list []platform.Instance) []string {
	if now.Sub(c.startedAt) <= cellTimeout {
		return nil
	}
	cells := map[string]bool{}
	for _, in := range list {
		if cell := in.EffectiveCell(); cell != c.cell && c.zoneReports.unreachable(now, cell) {
			cells[cell] = true
		}
	}
	return slices.Sorted(maps.Keys(cells))
}

// setUnreachableCells stores the unreachable cells and logs the changes.
func (c *Cluster) setUnreachableCells(unreachable []string) {
	before := *c.unreachableCells.Swap(&unreachable)
	for _, cell := range unreachable {
		if !slices.Contains(before, cell) {
			c.cfg.Log.Warn("cell unreachable: no recent report received", zap.String("cell", cell), zap.Duration("silent_for", cellTimeout))
		}
	}
	for _, cell := range before {
		if !slices.Contains(unreachable, cell) {
			c.cfg.Log.Info("cell reachable again", zap.String("cell", cell))
		}
	}
}

// zonesLoop exchanges reports with the other cells while this instance is the
// first watcher of its own.
func (c *Cluster) zonesLoop(ctx context.Context) {
	for {
		if c.position() == 0 {
			c.exchangeZoneReports(ctx)
		}
		if !sleep(ctx, c.jitter(c.timing.ZoneInterval), nil) {
			return
		}
	}
}

// exchangeZoneReports sends this cell's report to one watcher of each other cell
// and applies their reports.
func (c *Cluster) exchangeZoneReports(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	q := &instance.ZoneRequest{
		CatalogPosition: c.catalogPosition(),
		From:            c.view.Self(), TablesVersion: c.versions.InForce(), Report: c.buildZoneReport(now), PoisonRecords: c.changedPoison(now),
		RateLimits: c.rateLimits(now, nil),
	}
	to := c.pickCellContacts(now)
	c.mu.Unlock()
	p := pool.New().WithMaxGoroutines(maxConcurrentAnnouncements)
	for _, in := range to {
		p.Go(func() {
			r := &instance.ZoneReply{}
			if c.call(ctx, in, instance.MethodZone, q, r) == nil && ratelimit.Validate(r.RateLimits) == nil {
				c.applyZoneReply(in, r)
			}
		})
	}
	p.Wait()
}

// applyZoneReply applies the reply to this cell's report.
func (c *Cluster) applyZoneReply(from member.Info, r *instance.ZoneReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.observeZoneReport(now, r.Report)
	c.mergePoison(now, r.PoisonRecords)
	c.mergeRateLimits(now, from.ID, r.RateLimits)
	c.fetchTablesIfBehind(from, r.TablesVersion)
	c.fetchCatalogIfBehind(from, r.CatalogPosition)
}

// Zone handles another cell's report and replies with this cell's. Error:
// fault.KindBadRequest if the sender does not belong to the cell of the report,
// or belongs to this cell.
func (c server) Zone(_ context.Context, q *instance.ZoneRequest) (*instance.ZoneReply, error) {
	if q.From.EffectiveCell() != q.Report.Zone || q.From.EffectiveCell() == c.cell {
		return nil, fault.New(fault.KindBadRequest, "report of cell %q refused: sent by an instance of cell %q to cell %q", q.Report.Zone, q.From.EffectiveCell(), c.cell)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.observeZoneReport(now, q.Report)
	c.mergePoison(now, q.PoisonRecords)
	c.mergeRateLimits(now, q.From.ID, q.RateLimits)
	c.fetchTablesIfBehind(q.From, q.TablesVersion)
	c.fetchCatalogIfBehind(q.From, q.CatalogPosition)
	return &instance.ZoneReply{
		CatalogPosition: c.catalogPosition(), TablesVersion: c.versions.InForce(), Report: c.buildZoneReport(now), PoisonRecords: c.changedPoison(now),
		RateLimits: c.rateLimits(now, q.RateLimits),
	}, nil
}

// observeZoneReport records a report, and in the view which instances of that
// cell are suspected there or leaving. The caller holds mu.
func (c *Cluster) observeZoneReport(now time.Time, r instance.ZoneReport) {
	c.zoneReports.observeReport(now, r)
	suspected := map[allowance.HolderKey]bool{}
	for _, k := range r.Suspected {
		suspected[k] = true
	}
	leaving := map[allowance.HolderKey]bool{}
	for _, k := range r.Leaving {
		leaving[k] = true
	}
	for _, m := range c.view.CellMembers(now, r.Zone) {
		k := holderKeyOf(m.Info)
		c.view.SetAbsent(now, m.ID, m.Incarnation, suspected[k])
		if leaving[k] && !m.Leaving {
			m.Leaving = true
			c.view.ObserveReport(now, member.Report{Info: m.Info, Age: now.Sub(m.LastSeen)})
		}
	}
}

// buildZoneReport returns this cell's report. The caller holds mu.
func (c *Cluster) buildZoneReport(now time.Time) instance.ZoneReport {
	r := instance.ZoneReport{Zone: c.cell, Summaries: c.zoneReports.localTotals(now)}
	if c.leaving {
		r.Leaving = append(r.Leaving, c.self)
	}
	for _, m := range c.view.CellMembers(now, c.cell) {
		switch m.State {
		case member.Suspect:
			r.Suspected = append(r.Suspected, holderKeyOf(m.Info))
		case member.Leaving:
			r.Leaving = append(r.Leaving, holderKeyOf(m.Info))
		}
	}
	return r
}

// pickCellContacts returns, for each other cell, a random one of its contacts. The
// caller holds mu.
func (c *Cluster) pickCellContacts(now time.Time) []member.Info {
	byCell := map[string][]string{}
	infos := map[string]member.Info{}
	for _, m := range c.view.Members(now) {
		if m.EffectiveCell() != c.cell && m.State == member.Alive {
			byCell[m.EffectiveCell()] = append(byCell[m.EffectiveCell()], m.ID)
			infos[m.ID] = m.Info
		}
	}
	var to []member.Info
	for cell, ids := range byCell {
		contacts := c.cellContacts(now, cell, ids)
		to = append(to, infos[contacts[c.randIntN(len(contacts))]])
	}
	sort.Slice(to, func(i, j int) bool { return to[i].ID < to[j].ID })
	return to
}

// cellContacts returns those of ids that are the watchers of cell according to
// this instance's view. It leaves out those to which a call failed within
// cellTimeout, unless that is all of them: two failed calls in a row take so long
// that the cell counts as unreachable. The caller holds mu.
func (c *Cluster) cellContacts(now time.Time, cell string, ids []string) []string {
	ranked := spread.Rank(cell, ids)
	watchers := ranked[:min(spread.WatchersPerCell, len(ranked))]
	responding := slices.DeleteFunc(slices.Clone(watchers), func(id string) bool { return c.view.FailedWithin(now, id, cellTimeout) })
	if len(responding) == 0 {
		return watchers
	}
	return responding
}
