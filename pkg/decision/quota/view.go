package quota

import (
	"slices"

	"github.com/jacinthramp/jacinthramp/pkg/decision/hashing"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
)

const (
	// membersPerOwner is the number of members for one owner, maxOwners the largest
	// number of owners.
	membersPerOwner = 16
	maxOwners       = 8
	// minPartTokens is the smallest part of a full bucket that a member has.
	minPartTokens = 2
	// membersPerHolder is the number of members of a region for one holder, maxHolders the
	// largest number of holders of a region.
	membersPerHolder = 8
	maxHolders       = 4
	ownersRole       = "quota owners"
	holdersRole      = "quota holders"
)

// Member is an instance as another one sees it.
type Member struct {
	ID, Incarnation, Region string
	// LinkMbps is the speed of its link in Mbit/s; zero if it is not known.
	LinkMbps int
	// Silent is set if nothing has been received from it lately. It may be using its
	// own parts.
	Silent bool
	// Leaving is set once it has begun to stop; it takes no role any more.
	Leaving bool
}

// View is what an instance knows about the members. It is immutable.
type View struct {
	self    string
	members []viewMember
	byID    map[string]int
	owners  []viewMember
	// holders are members of the region of self.
	holders  []viewMember
	region   string
	complete bool
}

type viewMember struct {
	Member
	hash uint64
}

// NewView returns a view of members, which contain self. Without complete there may be
// others; the instance then neither grants nor uses anything.
func NewView(self string, members []Member, complete bool) *View {
	v := &View{self: self, byID: make(map[string]int, len(members)), complete: complete}
	for _, m := range members {
		if _, ok := v.byID[m.ID]; ok {
			continue
		}
		v.byID[m.ID] = len(v.members)
		v.members = append(v.members, viewMember{Member: m, hash: hashing.Name(m.ID)})
		if m.ID == self {
			v.region = m.Region
		}
	}
	all := func(*viewMember) bool { return true }
	nearby := func(m *viewMember) bool { return m.Region == v.region }
	v.owners = v.pick(ownersRole, membersPerOwner, maxOwners, all)
	v.holders = v.pick(holdersRole, membersPerHolder, maxHolders, nearby)
	return v
}

// pick returns the members with the fastest links of those that match and are alive: one
// for perRole of those that match, at most limit.
func (v *View) pick(role string, perRole, limit int, match func(*viewMember) bool) (picked []viewMember) {
	var ids []string
	links, matching := make(map[string]int), 0
	for i := range v.members {
		m := &v.members[i]
		if !match(m) {
			continue
		}
		matching++
		if !m.Silent && !m.Leaving {
			ids = append(ids, m.ID)
			links[m.ID] = m.LinkMbps
		}
	}
	count := min(1+(matching-1)/perRole, limit, len(ids))
	for _, id := range spread.RankByLink(role, ids, links)[:max(count, 0)] {
		picked = append(picked, v.members[v.byID[id]])
	}
	return picked
}

// isOf reports whether v is the view of members, in the same order.
func (v *View) isOf(members []Member, complete bool) bool {
	return v.complete == complete && slices.EqualFunc(v.members, members, func(a viewMember, b Member) bool { return a.Member == b })
}

// member returns the member with an ID; a nil view has none.
func (v *View) member(id string) (Member, bool) {
	if v == nil {
		return Member{}, false
	}
	i, ok := v.byID[id]
	if !ok {
		return Member{}, false
	}
	return v.members[i].Member, true
}

// owner returns the ID of the owner of a workspace, or "" without one.
func (v *View) owner(workspace uint64) string { return highestRanked(v.owners, workspace) }

// holder returns the ID of the holder of a workspace in the region: its owner if that is a
// member of the region, or "" without one.
func (v *View) holder(workspace uint64) string {
	owner := v.owner(workspace)
	if m, ok := v.member(owner); ok && m.Region == v.region {
		return owner
	}
	return highestRanked(v.holders, workspace)
}

// highestRanked returns the ID of the member that ranks first for a workspace, or "".
func highestRanked(members []viewMember, workspace uint64) string {
	best, score := "", uint64(0)
	for i := range members {
		if s := hashing.Mix(workspace, members[i].hash); best == "" || s > score {
			best, score = members[i].ID, s
		}
	}
	return best
}

// weights are the parts of a workspace's limit that its members have.
type weights struct {
	// each is the weight of one member; holders has those with a weight, nil for all.
	each    float64
	holders map[string]bool
}

// weights returns the weights of a workspace's limit. They add up to 1.
func (v *View) weights(workspace uint64, l Limit) weights {
	n := len(v.members)
	count := max(1, int(l.capacity()/minPartTokens))
	if count >= n {
		return weights{each: 1 / float64(max(n, 1))}
	}
	ranked := slices.Clone(v.members)
	slices.SortFunc(ranked, func(a, b viewMember) int {
		if hashing.Mix(workspace, a.hash) > hashing.Mix(workspace, b.hash) {
			return -1
		}
		return 1
	})
	w := weights{each: 1 / float64(count), holders: make(map[string]bool, count)}
	for i := range ranked[:count] {
		w.holders[ranked[i].ID] = true
	}
	return w
}

// of returns the weight of one member.
func (w weights) of(id string) float64 {
	if w.holders == nil || w.holders[id] {
		return w.each
	}
	return 0
}
