package table

import (
	"fmt"
	"regexp"
	"strings"
)

// namePattern matches valid names of rows, targets and zones.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Validate returns an InvalidError with every problem of t, or nil if t is valid.
// Optional fields may be zero.
func (t *Tables) Validate() error { return NewInvalidError(t.Problems()) }

// Problems returns every problem of t. Optional fields may be zero.
func (t *Tables) Problems() []Problem {
	v := validator{tables: t.WithDefaults()}
	v.checkRegions()
	v.checkPools()
	v.checkRoutes()
	v.checkWorkspaces()
	v.checkBlocks()
	return v.problems
}

// checkBlocks checks the reference to the block list. The content of the list is
// checked when it is loaded.
func (v *validator) checkBlocks() {
	b := v.tables.Blocks
	if b == nil {
		return
	}
	if b.Object == "" {
		v.addProblem("blocks", "blocks", "object", "is empty; the name of an object is required")
	}
	if b.Count < 1 {
		v.addProblem("blocks", "blocks", "count", "%d is out of range; at least 1 is accepted", b.Count)
	}
}

// validator collects the problems of tables that have their defaults filled in.
type validator struct {
	tables   *Tables
	problems []Problem
}

// addProblem records a problem. row is the kind and name of the row, path the row's
// path in its file, such as "routes[2]".
func (v *validator) addProblem(row, path, field, format string, args ...any) {
	v.problems = append(v.problems, Problem{
		Row: row, Field: field, Message: fmt.Sprintf(format, args...), path: path + "." + field,
	})
}

// checkName checks that name is valid and not in seen, and adds it to seen.
func (v *validator) checkName(seen map[string]bool, row, path, field, name string) {
	if !namePattern.MatchString(name) {
		v.addProblem(row, path, field, "%q is not a valid name; up to 63 letters, digits, \".\", \"_\" and \"-\" are accepted, with a letter or digit first", name)
		return
	}
	if seen[name] {
		v.addProblem(row, path, field, "the name %q is not unique", name)
	}
	seen[name] = true
}

func (v *validator) checkRegions() {
	seen := map[string]bool{}
	for i, r := range v.tables.Regions {
		row, path := "region "+r.Name, fmt.Sprintf("regions[%d]", i)
		v.checkName(seen, row, path, "name", r.Name)
		if r.Limit < 0 {
			v.addProblem(row, path, "limit", "%d is below 0; at least 1 is accepted", r.Limit)
		}
		if r.LinkBytesPerSecond < 0 {
			v.addProblem(row, path, "link_bytes_per_second", "%d is below 0; at least 1 is accepted", r.LinkBytesPerSecond)
		}
	}
}

func (v *validator) checkPools() {
	seen := map[string]bool{}
	targetNames := map[string]bool{}
	targetByAddress := map[string]string{}
	regionByZone := map[string]string{}
	for i := range v.tables.Pools {
		p := &v.tables.Pools[i]
		row, path := "pool "+p.Name, fmt.Sprintf("pools[%d]", i)
		v.checkName(seen, row, path, "name", p.Name)
		if v.tables.Region(p.Region) == nil {
			v.addProblem(row, path, "region", "region %q is not defined", p.Region)
		}
		if !(p.ShiftCap > 0 && p.ShiftCap <= 1) {
			v.addProblem(row, path, "shift_cap", "%v is out of range; above 0 and up to 1 is accepted", p.ShiftCap)
		}
		if p.ShiftWindow <= 0 {
			v.addProblem(row, path, "shift_window", "%v is out of range; above 0 is accepted", p.ShiftWindow)
		}
		if !(p.ColdRate >= 0 && p.ColdRate <= MaxRate) {
			v.addProblem(row, path, "cold_rate", "%v is out of range; a rate from 0 to %v requests per second is accepted", p.ColdRate, float64(MaxRate))
		}
		if len(p.Targets) == 0 {
			v.addProblem(row, path, "targets", "at least one target is required")
		}
		for j, tg := range p.Targets {
			field := fmt.Sprintf("targets[%d]", j)
			v.checkName(targetNames, row, path, field+".name", tg.Name)
			v.checkTarget(row, path, field, tg)
			v.checkAddress(targetByAddress, row, path, field, tg)
			v.checkZone(regionByZone, row, path, field, p.Region, tg.Zone)
		}
	}
}

// checkTarget checks the slots and connections of one target.
func (v *validator) checkTarget(row, path, field string, tg Target) {
	if tg.Slots < 1 || tg.Slots > MaxSlots {
		v.addProblem(row, path, field+".slots", "%d is out of range; at least 1 and at most %d is accepted", tg.Slots, MaxSlots)
	}
	if tg.Connections < 1 || tg.Connections > MaxConnections {
		v.addProblem(row, path, field+".connections", "%d is out of range; at least 1 and at most %d is accepted", tg.Connections, MaxConnections)
	}
}

// checkAddress checks that the address of tg is valid and that no other target has it.
// targetByAddress maps the addresses checked before to their targets.
func (v *validator) checkAddress(targetByAddress map[string]string, row, path, field string, tg Target) {
	a, err := ParseAddress(tg.Address)
	if err != nil {
		v.addProblem(row, path, field+".address", "%q is not a valid address; an IP address and a port are accepted, such as 10.0.0.1:8080", tg.Address)
		return
	}
	key := a.String()
	if other, ok := targetByAddress[key]; ok {
		v.addProblem(row, path, field+".address", "target %s already has the address %s", other, key)
		return
	}
	targetByAddress[key] = tg.Name
}

// checkZone checks that the name of an availability zone is valid and that all pools
// have the zone in the same region. regionByZone holds the zones checked before.
func (v *validator) checkZone(regionByZone map[string]string, row, path, field, region, zone string) {
	if !namePattern.MatchString(zone) {
		v.addProblem(row, path, field+".zone", "%q is not a valid name of an availability zone", zone)
		return
	}
	if other, ok := regionByZone[zone]; ok && other != region {
		v.addProblem(row, path, field+".zone", "zone %q is in region %q according to another pool", zone, other)
		return
	}
	regionByZone[zone] = region
}

func (v *validator) checkRoutes() {
	seen := map[string]bool{}
	routeByMatch := map[string]string{}
	for i := range v.tables.Routes {
		r := &v.tables.Routes[i]
		row, path := "route "+r.Name, fmt.Sprintf("routes[%d]", i)
		v.checkName(seen, row, path, "name", r.Name)
		v.checkWeights(row, path, r)
		v.checkMatch(routeByMatch, row, path, r)
		v.checkEnums(row, path, r)
		v.checkLimits(row, path, r)
	}
}

// checkWeights checks the pools of a route and their weights.
func (v *validator) checkWeights(row, path string, r *Route) {
	seen := map[string]bool{}
	for j, w := range r.Pools {
		field := fmt.Sprintf("pools[%d]", j)
		if v.tables.Pool(w.Pool) == nil {
			v.addProblem(row, path, field+".pool", "pool %q is not defined", w.Pool)
		}
		if seen[w.Pool] {
			v.addProblem(row, path, field+".pool", "pool %q is listed more than once", w.Pool)
		}
		seen[w.Pool] = true
		if w.Weight < 0 || w.Weight > MaxWeight {
			v.addProblem(row, path, field+".weight", "%d is out of range; 0 to %d is accepted", w.Weight, MaxWeight)
		}
	}
	if r.TotalWeight() <= 0 {
		v.addProblem(row, path, "pools", "the sum of the weights is not positive; at least one weight above 0 is required")
	}
}

// checkMatch checks the host and path prefix of a route and that no other route has
// the same ones. routeByMatch maps those checked before to their routes.
func (v *validator) checkMatch(routeByMatch map[string]string, row, path string, r *Route) {
	if strings.ContainsAny(r.Host, ":/ \t\r\n") {
		v.addProblem(row, path, "host", "%q is not a valid host; a name or an IPv4 address without a port is accepted", r.Host)
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || strings.ContainsAny(r.PathPrefix, "?# \t\r\n") {
		v.addProblem(row, path, "path_prefix", "%q is not a valid path; it must start with \"/\" and contain no query, fragment or whitespace", r.PathPrefix)
	}
	key := strings.ToLower(r.Host) + strings.TrimRight(r.PathPrefix, "/") + "/"
	if other, ok := routeByMatch[key]; ok {
		v.addProblem(row, path, "path_prefix", "route %s matches the same host and path", other)
		return
	}
	routeByMatch[key] = r.Name
}

// checkEnums checks the fields that have a fixed set of values.
func (v *validator) checkEnums(row, path string, r *Route) {
	switch r.Idempotency {
	case IdempotentByMethod, IdempotentAlways, IdempotentNever:
	default:
		v.addProblem(row, path, "idempotency", "%q is unknown; accepted: %s, %s, %s", r.Idempotency, IdempotentByMethod, IdempotentAlways, IdempotentNever)
	}
	switch r.Priority {
	case PriorityHigh, PriorityNormal, PriorityLow:
	default:
		v.addProblem(row, path, "priority", "%q is unknown; accepted: %s, %s, %s", r.Priority, PriorityHigh, PriorityNormal, PriorityLow)
	}
}

// checkLimits checks the durations, limits and regions of a route.
func (v *validator) checkLimits(row, path string, r *Route) {
	for _, s := range []struct {
		field string
		value Duration
	}{{"timeout", r.Timeout}, {"queue_timeout", r.QueueTimeout}, {"lookup_ttl", r.LookupTTL}} {
		if s.value <= 0 || s.value > MaxTimeout {
			v.addProblem(row, path, s.field, "%v is out of range; above 0 and up to %v is accepted", s.value, MaxTimeout)
		}
	}
	if r.TargetLatency <= 0 {
		v.addProblem(row, path, "target_latency", "%v is out of range; above 0 is accepted", r.TargetLatency)
	}
	if r.MaxAttempts < 1 {
		v.addProblem(row, path, "max_attempts", "%d is out of range; at least 1 is accepted", r.MaxAttempts)
	}
	for _, name := range r.Regions {
		if v.tables.Region(name) == nil {
			v.addProblem(row, path, "regions", "region %q is not defined", name)
		}
	}
	if r.MaxBodyBytes < 1 {
		v.addProblem(row, path, "max_body", "%d is out of range; at least 1 byte is accepted", r.MaxBodyBytes)
	}
}
