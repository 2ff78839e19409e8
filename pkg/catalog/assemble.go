package catalog

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Assemble returns the tables that follow from the entries, or nil if there is no
// configuration yet or nothing has changed since the last call. Each service
// becomes one pool for each region that has targets of it. The caller sets the
// version of the tables.
func (c *Catalog) Assemble() *table.Tables {
	cfg := c.config()
	if cfg == nil || !c.changed {
		return nil
	}
	c.changed = false
	t := &table.Tables{ConfigVersion: cfg.Version, Workspaces: cfg.Workspaces}
	pools := c.addPools(cfg, t)
	for i := range cfg.Routes {
		r := cfg.Routes[i]
		r.Pools = nil
		for _, w := range cfg.Routes[i].Pools {
			for _, name := range pools[w.Pool] {
				r.Pools = append(r.Pools, table.PoolWeight{Pool: name, Weight: w.Weight})
			}
		}
		t.Routes = append(t.Routes, r)
	}
	return t.WithDefaults()
}

// ConfigVersion returns the Version of the latest configuration, or 0 without one.
func (c *Catalog) ConfigVersion() uint64 {
	if cfg := c.config(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// config returns the configuration with the highest Version, or nil without one.
func (c *Catalog) config() *Config {
	var newest *Config
	for _, stored := range c.entries[Operators] {
		if stored.Config != nil && (newest == nil || stored.Config.Version > newest.Version) {
			newest = stored.Config
		}
	}
	return newest
}

// evacuatedZones returns the zones whose targets must not receive requests.
func (c *Catalog) evacuatedZones() map[string]bool {
	zones := make(map[string]bool)
	for _, stored := range c.entries[Operators] {
		if stored.EvacuatedZone != "" {
			zones[stored.EvacuatedZone] = true
		}
	}
	return zones
}

// addPools adds the pools and regions to t, ordered by name. It returns the names
// of the pools by service.
func (c *Catalog) addPools(cfg *Config, t *table.Tables) map[string][]string {
	evacuated := c.evacuatedZones()
	services := make(map[string]*Service, len(cfg.Services))
	for i := range cfg.Services {
		services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	byPool := make(map[string]*table.Pool)
	regions := make(map[string]bool)
	for _, stored := range c.entries[Targets] {
		tg := stored.Target
		if tg == nil || services[tg.Service] == nil {
			continue
		}
		s := services[tg.Service]
		name := tg.Service + "." + tg.Region
		p := byPool[name]
		if p == nil {
			p = &table.Pool{Name: name, Region: tg.Region, Service: tg.Service, ColdRate: s.ColdRate}
			byPool[name] = p
		}
		regions[tg.Region] = true
		p.Targets = append(p.Targets, table.Target{
			Name: tg.ID, Address: tg.Address, Zone: tg.Zone, Slots: tg.Slots, Connections: s.Connections,
			Drain: tg.Draining || evacuated[tg.Zone], HealthPath: s.HealthPath,
			Incarnation: strconv.FormatInt(tg.StartMillis, 10), ColdUntil: stored.coldUntil, EntryVersion: stored.Version,
		})
	}
	names := make(map[string][]string)
	for _, p := range byPool {
		slices.SortFunc(p.Targets, func(a, b table.Target) int { return cmp.Compare(a.Name, b.Name) })
		t.Pools = append(t.Pools, *p)
	}
	slices.SortFunc(t.Pools, func(a, b table.Pool) int { return cmp.Compare(a.Name, b.Name) })
	for i := range t.Pools {
		names[t.Pools[i].Service] = append(names[t.Pools[i].Service], t.Pools[i].Name)
	}
	for name := range regions {
		t.Regions = append(t.Regions, table.Region{Name: name})
	}
	slices.SortFunc(t.Regions, func(a, b table.Region) int { return cmp.Compare(a.Name, b.Name) })
	return names
}
