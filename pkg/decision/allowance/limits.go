// Package allowance splits each limit of an availability zone into integer
// shares that the zone's instances hold under leases. The sum of the shares
// that running, paused, partitioned and terminated instances may use never
// exceeds the limit. The package does no I/O, and callers pass the time as an
// argument.
//
// Row is the zone's record of share holders in the platform's table, and Plan
// computes its next version. Ledger tracks what one holder may use. Witness
// grants promises that extend leases while the store is unavailable.
// Reclaimer decides when the shares of an expired or terminated holder may be
// granted to others.
package allowance

import (
	"sort"
	"strings"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Limit names one limit that is split into shares.
type Limit string

const (
	targetPrefix = "target/"
	regionPrefix = "region/"
)

// TargetLimit returns the name of the limit on a target's slots.
func TargetLimit(target string) Limit { return Limit(targetPrefix + target) }

// RegionLimit returns the name of this zone's part of a region's limit.
func RegionLimit(region string) Limit { return Limit(regionPrefix + region) }

// Target returns the name of the target that l limits, or false if l does not
// limit a target.
func (l Limit) Target() (string, bool) { return strings.CutPrefix(string(l), targetPrefix) }

// Region returns the name of the region that l limits, or false if l does not
// limit a region.
func (l Limit) Region() (string, bool) { return strings.CutPrefix(string(l), regionPrefix) }

// Counts maps limits to numbers of shares. A missing limit counts as zero.
type Counts map[Limit]int

// Clone returns a copy of c. The copy is never nil.
func (c Counts) Clone() Counts {
	out := make(Counts, len(c))
	for l, n := range c {
		out[l] = n
	}
	return out
}

// SortedLimits returns the limits in c, sorted by name.
func (c Counts) SortedLimits() []Limit {
	ls := make([]Limit, 0, len(c))
	for l := range c {
		ls = append(ls, l)
	}
	sort.Slice(ls, func(i, j int) bool { return ls[i] < ls[j] })
	return ls
}

// ZoneLimits returns the limits that the instances of zone enforce under t:
// the slots of the zone's targets, and the zone's part of the limit of each
// region that these targets belong to.
func ZoneLimits(t *table.Tables, zone string) Counts {
	limits := Counts{}
	slots := map[string]map[string]int{}
	for _, p := range t.Pools {
		byZone := slots[p.Region]
		if byZone == nil {
			byZone = map[string]int{}
			slots[p.Region] = byZone
		}
		for _, tg := range p.Targets {
			byZone[tg.Zone] += tg.Slots
			if tg.Zone == zone {
				limits[TargetLimit(tg.Name)] = tg.Slots
			}
		}
	}
	for region, byZone := range slots {
		if byZone[zone] > 0 {
			limits[RegionLimit(region)] = splitRegionLimit(regionLimit(t, region, byZone), byZone)[zone]
		}
	}
	return limits
}

// regionLimit returns the declared limit of region, or the sum of its slots
// if none is declared.
func regionLimit(t *table.Tables, region string, slotsByZone map[string]int) int {
	if r := t.Region(region); r != nil && r.Limit > 0 {
		return r.Limit
	}
	sum := 0
	for _, n := range slotsByZone {
		sum += n
	}
	return sum
}

// splitRegionLimit divides limit among the zones in proportion to their
// slots. The remainder goes one each to the first zones by name.
func splitRegionLimit(limit int, slotsByZone map[string]int) map[string]int {
	zones := make([]string, 0, len(slotsByZone))
	sum := 0
	for z, n := range slotsByZone {
		zones = append(zones, z)
		sum += n
	}
	sort.Strings(zones)
	parts := make(map[string]int, len(zones))
	remainder := limit
	for _, z := range zones {
		parts[z] = limit * slotsByZone[z] / sum
		remainder -= parts[z]
	}
	for i := 0; remainder > 0; i = (i + 1) % len(zones) {
		parts[zones[i]]++
		remainder--
	}
	return parts
}
