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
	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
)

const (
	// summaryLife is how long a summary is used without a newer one.
	summaryLife = 5 * time.Second
	// cellSilence is how long after its last report a cell counts as silent.
	cellSilence = 4500 * time.Millisecond
)

// zoneBook keeps the summaries of this zone's instances and of other zones.
type zoneBook struct {
	zone  string
	own   map[string]ownSummaries
	other map[string]otherZone
}

type ownSummaries struct {
	at   time.Time
	list []instance.Summary
}

type otherZone struct {
	at     time.Time
	report instance.ZoneReport
}

func newZoneBook(zone string) *zoneBook {
	return &zoneBook{zone: zone, own: map[string]ownSummaries{}, other: map[string]otherZone{}}
}

// observeOwn takes in one instance's part of this zone's headroom.
func (b *zoneBook) observeOwn(now time.Time, id string, list []instance.Summary) {
	b.own[id] = ownSummaries{at: now, list: list}
}

// observe takes in another zone's report when it is newer.
func (b *zoneBook) observe(now time.Time, r instance.ZoneReport) {
	at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
	if r.Zone == b.zone || !at.After(b.other[r.Zone].at) {
		return
	}
	b.other[r.Zone] = otherZone{at: at, report: r}
}

// silent reports whether nothing was heard lately from a zone.
func (b *zoneBook) silent(now time.Time, zone string) bool {
	return now.Sub(b.other[zone].at) > cellSilence
}

// total adds up the instances' parts, by pool.
func (b *zoneBook) total(now time.Time) []instance.Summary {
	byPool := map[string]*instance.Summary{}
	for id, o := range b.own {
		if now.Sub(o.at) > summaryLife {
			delete(b.own, id)
			continue
		}
		for _, s := range o.list {
			addSummary(byPool, b.zone, s)
		}
	}
	out := make([]instance.Summary, 0, len(byPool))
	for _, s := range byPool {
		out = append(out, *s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Pool < out[j].Pool })
	return out
}

// addSummary adds s to its pool's sum.
func addSummary(byPool map[string]*instance.Summary, zone string, s instance.Summary) {
	if sum := byPool[s.Pool]; sum != nil {
		sum.Add(s.ZoneSummary)
		return
	}
	s.Zone = zone
	byPool[s.Pool] = &s
}

// others returns the reports of other zones with their ages.
func (b *zoneBook) others(now time.Time) []instance.ZoneReport {
	var out []instance.ZoneReport
	for z, o := range b.other {
		age := now.Sub(o.at)
		if age > summaryLife {
			delete(b.other, z)
			continue
		}
		r := o.report
		r.AgeMS = age.Milliseconds()
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Zone < out[j].Zone })
	return out
}

// summaries returns the headroom of this zone, as far as it is known here, and
// of the others.
func (b *zoneBook) summaries(now time.Time) []steer.ZoneSummary {
	var out []steer.ZoneSummary
	for _, s := range b.total(now) {
		s.At = now
		out = append(out, s.ZoneSummary)
	}
	for _, r := range b.others(now) {
		for _, s := range r.Summaries {
			s.At = now.Add(-time.Duration(r.AgeMS+s.AgeMS) * time.Millisecond)
			s.Zone = r.Zone
			out = append(out, s.ZoneSummary)
		}
	}
	return out
}

// cellsUnheard returns the cells of list that nothing was heard from lately.
// The caller holds mu.
func (c *Cluster) cellsUnheard(now time.Time, list []platform.Instance) []string {
	if now.Sub(c.started) <= cellSilence {
		return nil
	}
	cells := map[string]bool{}
	for _, in := range list {
		if g := in.Group(); g != c.cell && c.zones.silent(now, g) {
			cells[g] = true
		}
	}
	return slices.Sorted(maps.Keys(cells))
}

// noteSilent keeps the silent cells and logs when one falls silent or is back.
func (c *Cluster) noteSilent(silent []string) {
	before := *c.silentCells.Swap(&silent)
	for _, cell := range silent {
		if !slices.Contains(before, cell) {
			c.cfg.Log.Warn("cell lost", zap.String("cell", cell), zap.Duration("silent_for", cellSilence))
		}
	}
	for _, cell := range before {
		if !slices.Contains(silent, cell) {
			c.cfg.Log.Info("cell regained", zap.String("cell", cell))
		}
	}
}

// zonesLoop exchanges reports with the other zones as the first watcher of
// this zone.
func (c *Cluster) zonesLoop(ctx context.Context) {
	for {
		if c.position() == 0 {
			c.exchangeZones(ctx)
		}
		if !sleep(ctx, c.jitter(c.timing.ZoneInterval), nil) {
			return
		}
	}
}

// exchangeZones sends this zone's report to one watcher of each other zone.
func (c *Cluster) exchangeZones(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	q := &instance.ZoneRequest{
		Catalog: c.catalogPosition(),
		From:    c.view.Self(), Tables: c.versions.InForce(), Report: c.zoneReport(now), Poison: c.pushPoison(now),
	}
	to := c.zoneContacts(now)
	c.mu.Unlock()
	p := pool.New().WithMaxGoroutines(announceWidth)
	for _, in := range to {
		p.Go(func() {
			r := &instance.ZoneReply{}
			if c.call(ctx, in, instance.MethodZone, q, r) == nil {
				c.zoneAnswered(in, r)
			}
		})
	}
	p.Wait()
}

func (c *Cluster) zoneAnswered(from member.Info, r *instance.ZoneReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.observeZone(now, r.Report)
	c.takePoison(now, r.Poison)
	c.offer(from, r.Tables)
	c.offerCatalog(from, r.Catalog)
}

// Zone takes in another zone's report and answers with this zone's.
func (c server) Zone(_ context.Context, q *instance.ZoneRequest) (*instance.ZoneReply, error) {
	if q.From.Group() != q.Report.Zone || q.From.Group() == c.cell {
		return nil, fault.New(fault.KindBadRequest, "report of zone %q sent by %q to %q", q.Report.Zone, q.From.Group(), c.cell)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.observeZone(now, q.Report)
	c.takePoison(now, q.Poison)
	c.offer(q.From, q.Tables)
	c.offerCatalog(q.From, q.Catalog)
	return &instance.ZoneReply{Catalog: c.catalogPosition(), Tables: c.versions.InForce(), Report: c.zoneReport(now), Poison: c.pushPoison(now)}, nil
}

// observeZone takes a report into the book and the view. The caller holds mu.
func (c *Cluster) observeZone(now time.Time, r instance.ZoneReport) {
	c.zones.observe(now, r)
	absent := map[allowance.Key]bool{}
	for _, k := range r.Absent {
		absent[k] = true
	}
	leaving := map[allowance.Key]bool{}
	for _, k := range r.Leaving {
		leaving[k] = true
	}
	for _, m := range c.view.Cell(now, r.Zone) {
		k := keyOf(m.Info)
		c.view.ObserveAbsent(now, m.ID, m.Incarnation, absent[k])
		if leaving[k] && !m.Leaving {
			m.Leaving = true
			c.view.ObserveReport(now, member.Report{Info: m.Info, Age: now.Sub(m.Heard)})
		}
	}
}

// zoneReport makes this zone's report.
func (c *Cluster) zoneReport(now time.Time) instance.ZoneReport {
	r := instance.ZoneReport{Zone: c.cell, Summaries: c.zones.total(now)}
	if c.leaving {
		r.Leaving = append(r.Leaving, c.self)
	}
	for _, m := range c.view.Cell(now, c.cell) {
		switch m.State {
		case member.Suspect:
			r.Absent = append(r.Absent, keyOf(m.Info))
		case member.Leaving:
			r.Leaving = append(r.Leaving, keyOf(m.Info))
		}
	}
	return r
}

// zoneContacts picks one of the likely watchers of each other zone.
func (c *Cluster) zoneContacts(now time.Time) []member.Info {
	byZone := map[string][]string{}
	infos := map[string]member.Info{}
	for _, m := range c.view.Members(now) {
		if m.Group() != c.cell && m.State == member.Alive {
			byZone[m.Group()] = append(byZone[m.Group()], m.ID)
			infos[m.ID] = m.Info
		}
	}
	var to []member.Info
	for zone, ids := range byZone {
		ranked := spread.Rank(zone, ids)
		n := min(spread.Watchers, len(ranked))
		to = append(to, infos[ranked[int(c.cfg.Rand()*float64(n))]])
	}
	sort.Slice(to, func(i, j int) bool { return to[i].ID < to[j].ID })
	return to
}
