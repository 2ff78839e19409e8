package spread

import "slices"

const (
	// maxFlatCell is the largest number of instances of a cell without relays.
	maxFlatCell = 32
	// membersPerRelay is the largest mean number of instances that report to one
	// relay.
	membersPerRelay = 16
	// relaysPerMember is the number of relays that an instance may report to.
	relaysPerMember = 2
)

// Tree defines which instances of a cell report to which, and which of them
// forward announcements. In a small cell every instance reports to the watchers.
// In a large cell some instances are relays: they report to the watchers, and the
// other instances report to the relays. Instances with the same list of members
// compute the same tree.
type Tree struct {
	// ranked holds the watchers, then the relays, then the other members.
	ranked []string
	relays []string
}

// NewFlatTree returns the tree without relays for a cell. ranked holds the cell's
// live instances in the order of Rank.
func NewFlatTree(ranked []string) Tree { return Tree{ranked: ranked} }

// NewRelayTree returns the tree for a cell, with relays when the cell is large.
// ranked holds the cell's live instances in the order of Rank. recentlyLive is the
// number of instances that were live until recently. It decides whether the cell
// is large, so that the loss of many instances does not take away the relays that
// the others rely on.
func NewRelayTree(ranked []string, recentlyLive int) Tree {
	t := Tree{ranked: ranked}
	if recentlyLive <= maxFlatCell || len(ranked) <= WatchersPerCell {
		return t
	}
	others := len(ranked) - WatchersPerCell
	relays := (others + membersPerRelay) / (membersPerRelay + 1)
	t.relays = ranked[WatchersPerCell : WatchersPerCell+relays]
	return t
}

// HasRelays reports whether the cell has relays between the watchers and the
// other instances.
func (t Tree) HasRelays() bool { return len(t.relays) > 0 }

// Watchers returns the instances that poll the store.
func (t Tree) Watchers() []string { return t.ranked[:min(WatchersPerCell, len(t.ranked))] }

// Relays returns the relays of the cell. It is empty in a small cell.
func (t Tree) Relays() []string { return t.relays }

// Position returns the index of id in the ranked cell, or -1.
func (t Tree) Position(id string) int { return Position(t.ranked, id) }

// IsWatcher reports whether id is a watcher.
func (t Tree) IsWatcher(id string) bool { return slices.Contains(t.Watchers(), id) }

// IsRelay reports whether id is a relay.
func (t Tree) IsRelay(id string) bool { return slices.Contains(t.relays, id) }

// UsesRelay reports whether id exchanges messages with the watchers through
// relays.
func (t Tree) UsesRelay(id string) bool {
	return t.HasRelays() && !t.IsWatcher(id) && !t.IsRelay(id)
}

// RelaysOf returns the relays that id may report to, in order of preference: id
// reports to the first one as long as that responds.
func (t Tree) RelaysOf(id string) []string {
	return Rank(id, t.relays)[:min(relaysPerMember, len(t.relays))]
}

// Recipients returns the instances to which id sends announcements. Without relays
// these are all instances of the cell. With relays, a watcher sends to the
// watchers and the relays, a relay to the instances that report to it first, and
// other instances send to none.
func (t Tree) Recipients(id string) []string {
	switch {
	case !t.HasRelays():
		return t.ranked
	case t.IsRelay(id):
		return t.primaryDownstream(id)
	case t.IsWatcher(id):
		return append(slices.Clone(t.Watchers()), t.relays...)
	default:
		return nil
	}
}

// ReaderRecipients returns the instances to which id announces what it reads from the
// store for the whole cell: all without relays, otherwise the watchers and the relays
// and, if id is a relay, the instances that report to it first.
func (t Tree) ReaderRecipients(id string) []string {
	if !t.HasRelays() {
		return t.ranked
	}
	ids := append(slices.Clone(t.Watchers()), t.relays...)
	if t.IsRelay(id) {
		ids = append(ids, t.primaryDownstream(id)...)
	}
	return ids
}

// First returns the first n instances in rank order, or all if there are fewer.
func (t Tree) First(n int) []string { return t.ranked[:min(n, len(t.ranked))] }

// Bypassing returns ids without the failing instances. Each failing relay among them is
// replaced by the instances that report to it first.
func (t Tree) Bypassing(ids []string, failing func(id string) bool) []string {
	var reachable []string
	for _, id := range ids {
		switch {
		case !failing(id):
			reachable = append(reachable, id)
		case t.IsRelay(id):
			reachable = append(reachable, t.primaryDownstream(id)...)
		}
	}
	return slices.DeleteFunc(reachable, failing)
}

// primaryDownstream returns the instances that prefer relay among their relays.
func (t Tree) primaryDownstream(relay string) []string {
	var ids []string
	for _, id := range t.ranked[WatchersPerCell+len(t.relays):] {
		if t.RelaysOf(id)[0] == relay {
			ids = append(ids, id)
		}
	}
	return ids
}
