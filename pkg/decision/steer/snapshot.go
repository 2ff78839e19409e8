package steer

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/shift"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// snapshot is an immutable snapshot of the tables, with the counters of their
// rows. Successive snapshots share the counters.
type snapshot struct {
	tables      *table.Tables
	matcher     *table.Matcher
	expires     time.Time
	shares      Shares
	targetStats map[string]*targetStats
	targets     map[string]*target
	regions     map[string]*region
	pools       map[string]*pool
	routes      map[string]*route
	// services holds the services by name, for direct dispatch.
	services map[string]*service
	// workspaces are those of the tables. The others are for direct dispatch: routeRegions holds
	// the regionsKey of each route that allows several regions, so that no request has to build
	// it, workspaceRegions the different limits of workspaces by the regionsKey of their regions,
	// and commonRegions what these have in common with those of the routes.
	workspaces       workspaceIndex
	routeRegions     map[*table.Route]string
	workspaceRegions map[string][]string
	commonRegions    commonRegions
}

// pool is a row of the pools table with this instance's counters for it.
type pool struct {
	*poolStats
	row    *table.Pool
	region *region
	// targets are those in this zone, or with direct dispatch in all zones.
	// zones are the other zones.
	targets []*target
	zones   []*zone
	// rankInputs has an entry for each of targets, and zoneSlots one for each
	// of their zones. Both are for direct dispatch.
	rankInputs []rankInput
	zoneSlots  []zoneSlots
}

// emptySnapshot returns the snapshot in force until SetTables.
func emptySnapshot() *snapshot {
	t := &table.Tables{}
	return &snapshot{tables: t, matcher: table.NewMatcher(t)}
}

// buildSnapshot returns the snapshot for t, with the counters of old.
func (c *Core) buildSnapshot(now time.Time, old *snapshot, t *table.Tables) *snapshot {
	snap := &snapshot{
		tables: t, matcher: table.NewMatcher(t), expires: old.expires, shares: old.shares,
		targetStats: make(map[string]*targetStats),
		targets:     make(map[string]*target),
		regions:     make(map[string]*region),
		pools:       make(map[string]*pool),
		routes:      make(map[string]*route),

		services: make(map[string]*service),

		workspaces:       newWorkspaceIndex(t),
		routeRegions:     make(map[*table.Route]string),
		workspaceRegions: make(map[string][]string),
		commonRegions:    make(commonRegions),
	}
	for _, w := range t.Workspaces {
		if len(w.Regions) > 0 {
			snap.workspaceRegions[regionsKey(w.Regions)] = w.Regions
		}
	}
	for name, s := range old.targetStats {
		if s.mustRetain(c.nanos(now)) {
			snap.targetStats[name] = s
		}
	}
	for name, reg := range old.regions {
		snap.regions[name] = reg
	}
	for i := range t.Pools {
		c.addPool(snap, old, &t.Pools[i])
	}
	snap.addRooms(old)
	for i := range t.Routes {
		c.addRoute(now, snap, old, &t.Routes[i])
	}
	snap.applyShares()
	return snap
}

// addPool adds a row of the pools table with its targets.
func (c *Core) addPool(snap, old *snapshot, row *table.Pool) {
	reg, ok := snap.regions[row.Region]
	if !ok {
		reg = &region{name: row.Region}
		snap.regions[row.Region] = reg
	}
	p := &pool{row: row, region: reg}
	if prev, ok := old.pools[row.Name]; ok {
		p.poolStats = prev.poolStats
	} else {
		p.poolStats = newPoolStats(row.Name)
	}
	for _, targetRow := range row.Targets {
		t := &target{targetStats: snap.targetStats[targetRow.Name], row: targetRow, pool: row.Name, drain: targetRow.Drain || row.Drain}
		if t.targetStats == nil {
			t.targetStats = old.targetStats[targetRow.Name]
		}
		if t.targetStats == nil || t.targetStats.replacedBy(&targetRow) {
			t.targetStats = c.newTargetStats(targetRow.Name)
		}
		t.targetStats.applyDiscovery(c, &targetRow)
		t.coldRate = row.ColdRate
		snap.targetStats[targetRow.Name] = t.targetStats
		snap.targets[targetRow.Name] = t
		if c.direct != nil || targetRow.Zone == c.self.Zone {
			p.targets = append(p.targets, t)
		} else if !t.drain {
			p.addZone(c.zoneStatsFor(old, row, targetRow.Zone), targetRow.Slots)
		}
	}
	snap.pools[row.Name] = p
	if c.direct != nil {
		p.addRankInputs()
		snap.addToService(p)
	}
}

// addToService adds p to the pools of its service.
func (snap *snapshot) addToService(p *pool) {
	s, ok := snap.services[p.row.Service]
	if !ok {
		s = &service{placements: make(map[string]*rampedPlacement)}
		snap.services[p.row.Service] = s
	}
	s.pools = append(s.pools, p)
}

// zoneStatsFor returns the statistics of the pool in the named zone.
func (c *Core) zoneStatsFor(old *snapshot, row *table.Pool, name string) *zoneStats {
	if prev, ok := old.pools[row.Name]; ok {
		for _, z := range prev.zones {
			if z.name == name {
				return z.zoneStats
			}
		}
	}
	return newZoneStats(name, row.Region == c.self.Region)
}

// addZone adds the slots of a target in another zone.
func (p *pool) addZone(s *zoneStats, slots int) {
	for _, z := range p.zones {
		if z.name == s.name {
			z.slots += slots
			return
		}
	}
	p.zones = append(p.zones, &zone{zoneStats: s, slots: slots})
}

// addRoute adds a row of the routes table with its plan at now.
func (c *Core) addRoute(now time.Time, snap, old *snapshot, row *table.Route) {
	rt, ok := old.routes[row.Name]
	if !ok {
		rt = newRoute(c.nanos(now))
	}
	snap.routes[row.Name] = rt
	if c.direct != nil {
		for _, regions := range snap.regionsForRequests(row) {
			c.addPlacements(now, snap, old, row, regions)
		}
		return
	}
	rt.updatePlan(c, now, snap, row)
}

// addPlacements adds the placements of a route's objects over its services in the regions.
func (c *Core) addPlacements(now time.Time, snap, old *snapshot, row *table.Route, regions []string) {
	key, lastService := regionsKey(regions), ""
	for _, w := range row.Pools {
		// The pools of a service are adjacent in the row.
		name := snap.serviceOf(w.Pool)
		if name == lastService {
			continue
		}
		lastService = name
		if s, ok := snap.services[name]; ok && s.placements[key] == nil {
			s.placements[key] = c.newRampedPlacement(c.nanos(now), s, old.services[name], regions)
		}
	}
}

// applyShares stores the shares in the counters. A target or region without a
// share gets zero.
func (snap *snapshot) applyShares() {
	for name, s := range snap.targetStats {
		s.share.Store(int64(snap.shares.Slots[name]))
	}
	for name, reg := range snap.regions {
		reg.share.Store(int64(snap.shares.Regions[name]))
	}
}

// shiftLimits returns the pool's shift cap and window, or their defaults.
func (p *pool) shiftLimits() (float64, time.Duration) { return shift.EffectiveShiftCap(p.row) }

// slotUsage returns how many requests this instance may have in flight to the
// pool's targets, and how many it has.
func (p *pool) slotUsage(now int64) (usable, inFlight int64) {
	for _, t := range p.targets {
		if u := t.usableSlots(now); u > 0 {
			usable += u
			inFlight += min(u, t.inFlight.Load())
		}
	}
	return usable, inFlight
}
