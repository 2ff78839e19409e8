package spread

import "slices"

const (
	// relayedFrom is the number of instances of a cell above which relays stand
	// between its watchers and the others.
	relayedFrom = 32
	// relaySize is the mean number of instances that report to one relay.
	relaySize = 16
	// alternatives is the number of relays that an instance chooses from.
	alternatives = 2
)

// Tree says who reports to whom in a cell and who passes on what is new. In a
// small cell everyone reports to the watchers. In a large one some instances
// are relays: they report to the watchers, and the others to them. All
// instances that know of the same members hold the same tree.
type Tree struct {
	ranked []string
	relays []string
}

// NewFlatTree returns the tree without relays of a cell's live instances, in the order
// of Rank.
func NewFlatTree(ranked []string) Tree { return Tree{ranked: ranked} }

// NewRelayTree returns the tree of a cell's live instances, in the order of Rank. It
// has relays when the cell is large, by the instances that lived until lately,
// so that the loss of many does not change what the others count on.
func NewRelayTree(ranked []string, lately int) Tree {
	t := Tree{ranked: ranked}
	if lately <= relayedFrom || len(ranked) <= WatchersPerCell {
		return t
	}
	others := len(ranked) - WatchersPerCell
	relays := (others + relaySize) / (relaySize + 1)
	t.relays = ranked[WatchersPerCell : WatchersPerCell+relays]
	return t
}

// HasRelays reports whether relays stand between the watchers and the others.
func (t Tree) HasRelays() bool { return len(t.relays) > 0 }

// Watchers returns the instances that watch the store.
func (t Tree) Watchers() []string { return t.ranked[:min(WatchersPerCell, len(t.ranked))] }

// Relays returns the relays, if the cell has any.
func (t Tree) Relays() []string { return t.relays }

// Position returns the place of id in the cell, or -1.
func (t Tree) Position(id string) int { return Position(t.ranked, id) }

// IsWatcher reports whether id watches the store.
func (t Tree) IsWatcher(id string) bool { return slices.Contains(t.Watchers(), id) }

// IsRelay reports whether id is a relay.
func (t Tree) IsRelay(id string) bool { return slices.Contains(t.relays, id) }

// UsesRelay reports whether id hears from the watchers through relays.
func (t Tree) UsesRelay(id string) bool {
	return t.HasRelays() && !t.IsWatcher(id) && !t.IsRelay(id)
}

// RelaysOf returns the relays that id reports to, the first while it answers.
func (t Tree) RelaysOf(id string) []string {
	return Rank(id, t.relays)[:min(alternatives, len(t.relays))]
}

// Recipients returns whom id tells what is new: the watchers tell the relays, and
// each relay those who report to it first. Without relays everyone tells all.
func (t Tree) Recipients(id string) []string {
	switch {
	case !t.HasRelays():
		return t.ranked
	case t.IsRelay(id):
		return t.reportTo(id)
	case t.IsWatcher(id):
		return append(slices.Clone(t.Watchers()), t.relays...)
	default:
		return nil
	}
}

// reportTo returns those who report to relay first.
func (t Tree) reportTo(relay string) []string {
	var ids []string
	for _, id := range t.ranked[WatchersPerCell+len(t.relays):] {
		if t.RelaysOf(id)[0] == relay {
			ids = append(ids, id)
		}
	}
	return ids
}
