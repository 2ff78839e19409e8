package node

import (
	"sort"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// EqualSplit divides the slots of a zone's targets equally among the zone's listed
// instances, and the limit of a region among the region's. It returns the shares of
// self. Remainders go to different instances for successive targets. It is a simple
// baseline without coordination: instances with different lists may together exceed
// a limit.
func EqualSplit(t *table.Tables, list []platform.Instance, self platform.Instance, expires time.Time) steer.Shares {
	rank, count := rankOf(list, self)
	shares := steer.Shares{Expires: expires, Slots: make(map[string]int), Regions: make(map[string]int)}
	index := 0
	for _, p := range t.Pools {
		for _, tg := range p.Targets {
			if tg.Zone == self.Zone {
				shares.Slots[tg.Name] = equalPart(tg.Slots, (rank+index)%count, count)
			}
			index++
		}
	}
	regionRank, regionCount := regionRankOf(list, self)
	for _, r := range t.Regions {
		if r.Name == self.Region {
			shares.Regions[r.Name] = equalPart(r.Limit, regionRank, regionCount)
		}
	}
	return shares
}

// equalPart returns the part of total for the instance at rank among count.
func equalPart(total, rank, count int) int {
	share := total / count
	if rank < total%count {
		share++
	}
	return share
}

// rankOf returns the rank of self among the instances of its zone, ordered by id,
// and their number. self counts even if list does not contain it.
func rankOf(list []platform.Instance, self platform.Instance) (rank, count int) {
	return rankWhere(list, self, func(in platform.Instance) bool { return in.Zone == self.Zone })
}

// regionRankOf is rankOf for the instances of the region of self.
func regionRankOf(list []platform.Instance, self platform.Instance) (rank, count int) {
	return rankWhere(list, self, func(in platform.Instance) bool { return in.Region == self.Region })
}

// rankWhere is rankOf for the instances that keep accepts.
func rankWhere(list []platform.Instance, self platform.Instance, keep func(platform.Instance) bool) (rank, count int) {
	ids := []string{self.ID}
	for _, in := range list {
		if in.ID != self.ID && keep(in) {
			ids = append(ids, in.ID)
		}
	}
	sort.Strings(ids)
	return sort.SearchStrings(ids, self.ID), len(ids)
}
