package table

// WithDefaults returns a copy of t in which every optional field that is zero has its
// default. The stored tables don't contain defaults, so that a default which depends
// on other rows, such as a region's limit, changes with those rows.
func (t *Tables) WithDefaults() *Tables {
	c := t.Clone()
	for i := range c.Routes {
		c.Routes[i].fillDefaults()
	}
	slots := make(map[string]int)
	for i := range c.Pools {
		p := &c.Pools[i]
		p.fillDefaults()
		slots[p.Region] += p.TotalSlots()
	}
	for i := range c.Regions {
		r := &c.Regions[i]
		setDefault(&r.Limit, slots[r.Name])
		setDefault(&r.LinkBytesPerSecond, DefaultLinkBytesPerSecond)
	}
	return c
}

// Clone returns a deep copy of t, except for Blocks, which is shared because it must not
// be modified.
func (t *Tables) Clone() *Tables {
	c := *t
	c.Routes = append([]Route(nil), t.Routes...)
	for i := range c.Routes {
		c.Routes[i].Pools = append([]PoolWeight(nil), t.Routes[i].Pools...)
		c.Routes[i].Regions = append([]string(nil), t.Routes[i].Regions...)
	}
	c.Pools = append([]Pool(nil), t.Pools...)
	for i := range c.Pools {
		c.Pools[i].Targets = append([]Target(nil), t.Pools[i].Targets...)
	}
	c.Regions = append([]Region(nil), t.Regions...)
	c.Shifts = append([]Shift(nil), t.Shifts...)
	c.Workspaces = append([]Workspace(nil), t.Workspaces...)
	for i := range c.Workspaces {
		c.Workspaces[i].Keys = append([]KeyDigest(nil), t.Workspaces[i].Keys...)
		c.Workspaces[i].Regions = append([]string(nil), t.Workspaces[i].Regions...)
	}
	return &c
}

// TotalSlots returns the sum of the slots of p's targets.
func (p *Pool) TotalSlots() int {
	n := 0
	for _, tg := range p.Targets {
		n += max(tg.Slots, 0)
	}
	return n
}

// TotalWeight returns the sum of the weights of r's pools.
func (r *Route) TotalWeight() int {
	n := 0
	for _, w := range r.Pools {
		n += w.Weight
	}
	return n
}

// fillDefaults sets the optional fields of r that are zero.
func (r *Route) fillDefaults() {
	setDefault(&r.PathPrefix, "/")
	setDefault(&r.Idempotency, IdempotentByMethod)
	setDefault(&r.Priority, PriorityNormal)
	setDefault(&r.Timeout, Duration(DefaultTimeout))
	setDefault(&r.QueueTimeout, Duration(DefaultQueueTimeout))
	setDefault(&r.LookupTTL, Duration(DefaultLookupTTL))
	setDefault(&r.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&r.TargetLatency, r.Timeout/2)
	setDefault(&r.MaxAttempts, DefaultMaxAttempts)
}

// fillDefaults sets the optional fields of p and its targets that are zero.
func (p *Pool) fillDefaults() {
	setDefault(&p.Service, p.Name)
	setDefault(&p.ShiftCap, DefaultShiftCap)
	setDefault(&p.ShiftWindow, Duration(DefaultShiftWindow))
	for i := range p.Targets {
		setDefault(&p.Targets[i].Connections, DefaultConnections)
	}
}

// setDefault sets *v to def if it is zero.
func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
