package lookup

// Query is a lookup and what this instance knows to answer it.
type Query struct {
	Caller  Location
	Allowed AllowedRegions
	// Instances are the known instances. This instance is marked if it is leaving.
	Instances []Instance
	// Complete is set once the platform's list of instances has been read. Before that,
	// the caller's region may have usable instances that are not known.
	Complete bool
	// Departed is set while instances of the caller's region have left recently.
	Departed bool
}

// Candidates are the instances that a response may name, all of them usable.
type Candidates struct {
	// Zone are those of the caller's zone, Region those of other zones of its region.
	Zone, Region []Instance
	// Others are those of other regions. A response names them after the others, or only
	// without any.
	Others []Instance
}

// Select returns the candidates for a response. Others contains instances of regions
// that not every route allows only if the caller's region is lost: then requests served
// elsewhere are better than none. An unrestricted caller gets all others.
func Select(q Query) Candidates {
	var c Candidates
	for _, in := range q.Instances {
		if !in.Usable() {
			continue
		}
		switch orderOf(q.Caller, in) {
		case OrderSameZone:
			c.Zone = append(c.Zone, in)
		case OrderSameRegion:
			c.Region = append(c.Region, in)
		default:
			c.Others = append(c.Others, in)
		}
	}
	if !q.Allowed.Restricted() {
		return c
	}
	available := len(c.Zone)+len(c.Region) > 0 || q.mayReturn()
	c.Others = selectAllowed(c.Others, q.Allowed, !available)
	return c
}

// mayReturn reports whether the caller's region may have usable instances soon, or
// already has some that are not known here. Instances that leave are usually replaced
// within seconds, and a caller without a new response uses its last one.
func (q *Query) mayReturn() bool {
	if !q.Complete || q.Departed {
		return true
	}
	for _, in := range q.Instances {
		if in.Region == q.Caller.Region && in.Leaving && !in.Unreachable {
			return true
		}
	}
	return false
}

// selectAllowed returns those of instances whose regions every route allows. If there
// are none and regionLost is set, it returns those whose regions at least one route
// allows, or else all.
func selectAllowed(instances []Instance, allowed AllowedRegions, regionLost bool) []Instance {
	byAll := inRegions(instances, allowed.ByAll)
	if len(byAll) > 0 || !regionLost {
		return byAll
	}
	if byAny := inRegions(instances, allowed.ByAny); len(byAny) > 0 {
		return byAny
	}
	return instances
}

// inRegions returns the instances of the regions for which include returns true.
func inRegions(instances []Instance, include func(region string) bool) []Instance {
	var out []Instance
	for _, in := range instances {
		if include(in.Region) {
			out = append(out, in)
		}
	}
	return out
}
