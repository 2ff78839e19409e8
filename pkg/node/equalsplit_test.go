package node

import (
	"sort"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// EqualSplit divides the limits of a zone's targets equally among the zone's
// listed instances and returns the part of self. What does not divide goes
// round by the target's place in the table. It is the plain baseline: two
// instances with different lists may together exceed a limit.
func EqualSplit(t *table.Tables, list []platform.Instance, self platform.Instance, expires time.Time) steer.Shares {
	rank, n := rankOf(list, self)
	sh := steer.Shares{Expires: expires, Slots: make(map[string]int), Regions: make(map[string]int)}
	index := 0
	for _, p := range t.Pools {
		for _, tg := range p.Targets {
			if tg.Zone == self.Zone {
				sh.Slots[tg.Name] = equalPart(tg.Slots, (rank+index)%n, n)
			}
			index++
		}
	}
	regionRank, regionCount := regionRankOf(list, self)
	for _, r := range t.Regions {
		if r.Name == self.Region {
			sh.Regions[r.Name] = equalPart(r.Limit, regionRank, regionCount)
		}
	}
	return sh
}

// equalPart returns the share of the holder at rank among n equal holders.
func equalPart(total, rank, n int) int {
	share := total / n
	if rank < total%n {
		share++
	}
	return share
}

// rankOf returns the place of self among the zone's instances by id, and
// their number; self always counts.
func rankOf(list []platform.Instance, self platform.Instance) (rank, n int) {
	return rankWhere(list, self, func(in platform.Instance) bool { return in.Zone == self.Zone })
}

// regionRankOf is rankOf over the region.
func regionRankOf(list []platform.Instance, self platform.Instance) (rank, n int) {
	return rankWhere(list, self, func(in platform.Instance) bool { return in.Region == self.Region })
}

func rankWhere(list []platform.Instance, self platform.Instance, keep func(platform.Instance) bool) (rank, n int) {
	ids := []string{self.ID}
	for _, in := range list {
		if in.ID != self.ID && keep(in) {
			ids = append(ids, in.ID)
		}
	}
	sort.Strings(ids)
	return sort.SearchStrings(ids, self.ID), len(ids)
}
