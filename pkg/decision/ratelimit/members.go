package ratelimit

import (
	"slices"

	"github.com/jacinthramp/jacinthramp/pkg/decision/hashing"
)

// Member is an instance that shares the limits of targets.
type Member struct {
	ID     string
	Zone   string
	Region string
}

// Members are the instances that share the limits of targets, as one of them knows them.
// They include instances from which nothing has been received for a while: such an
// instance may still be sending requests.
type Members struct {
	self string
	list []member
	// complete is false while there may be members that this instance has not heard of.
	complete bool
}

// member is a Member with the hash of its ID.
type member struct {
	Member
	hash uint64
}

// NewMembers returns the members in list as the instance self knows them. complete is
// false as long as self may not have heard of all of them; it then sends nothing that is
// limited for all of them together.
func NewMembers(self string, list []Member, complete bool) *Members {
	m := &Members{self: self, complete: complete}
	seen := make(map[string]bool, len(list))
	for _, in := range list {
		if !seen[in.ID] {
			seen[in.ID] = true
			m.list = append(m.list, member{Member: in, hash: hashing.Name(in.ID)})
		}
	}
	return m
}

// Count returns the number of members, at least 1.
func (m *Members) Count() int { return max(1, len(m.list)) }

// Equal reports whether m and o have the same members in the same order.
func (m *Members) Equal(o *Members) bool {
	return m.self == o.self && m.complete == o.complete && slices.Equal(m.list, o.list)
}

// InZone returns the members in a zone.
func (m *Members) InZone(zone string) *Members {
	return m.filter(func(in *member) bool { return in.Zone == zone })
}

// CountInRegion returns the number of members in a region.
func (m *Members) CountInRegion(region string) int { return len(m.inRegion(region).list) }

// inRegion returns the members in a region.
func (m *Members) inRegion(region string) *Members {
	return m.filter(func(in *member) bool { return in.Region == region })
}

func (m *Members) filter(matches func(*member) bool) *Members {
	out := &Members{self: m.self, complete: m.complete}
	for i := range m.list {
		if matches(&m.list[i]) {
			out.list = append(out.list, m.list[i])
		}
	}
	return out
}

// countByRegion returns the number of members in each region.
func (m *Members) countByRegion() map[string]int {
	counts := make(map[string]int)
	for i := range m.list {
		counts[m.list[i].Region]++
	}
	return counts
}

// IsSender reports whether this instance is one of the count members that send requests
// to the target with the given hash. Instances that know the same members choose the same
// senders, and a member that comes or goes changes one of them at most.
func (m *Members) IsSender(target uint64, count int) bool {
	own := slices.IndexFunc(m.list, func(in member) bool { return in.ID == m.self })
	if own < 0 || !m.complete {
		return false
	}
	ownRank := hashing.Mix(target, m.list[own].hash)
	higher := 0
	for i := range m.list {
		if hashing.Mix(target, m.list[i].hash) > ownRank {
			higher++
		}
	}
	return higher < count
}
