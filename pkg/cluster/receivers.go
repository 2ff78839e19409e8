package cluster

import (
	"slices"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
)

// receivers are the members that a heartbeat goes to.
type receivers struct {
	// all gets it.
	all []member.Info
	// firstOf get it one after the other, until one answers.
	firstOf []member.Info
	// probe get it to find out whether they have ended or work again. Nothing
	// waits for their answers.
	probe []member.Info
}

// The numbers of instances through which one hears from the others of its cell.
const (
	watcherHops = 0
	memberHops  = 1
	relayHops   = 1
	leafHops    = 3
)

// memberAnnounceSpacing is the time from one push of a change of the members to the next.
const memberAnnounceSpacing = 300 * time.Millisecond

// maxReportAge returns how long a member may be unheard of while all is well: each
// instance on the way passes on what it knows once an interval.
func (c *Cluster) maxReportAge(depth int) time.Duration {
	return time.Duration(2*depth+3) * c.timing.HeartbeatInterval / 2
}

// reportHops returns through how many instances this one hears from the others.
func (c *Cluster) reportHops(tree spread.Tree) int {
	d := memberHops
	if tree.IsWatcher(c.self.ID) {
		d = watcherHops
	}
	switch {
	case tree.ByRelays(c.self.ID):
		return leafHops
	case tree.HasRelays():
		return d + relayHops
	}
	return d
}

// receivers returns whom a heartbeat goes to: the watchers, or a relay, and one
// silent member.
func (c *Cluster) receivers(now time.Time, tree spread.Tree) receivers {
	members := map[string]member.Info{}
	var silent []member.Info
	limit := c.maxReportAge(c.reportHops(tree))
	for _, m := range c.view.Cell(now, c.cell) {
		members[m.ID] = m.Info
		if !tree.IsWatcher(m.ID) && (m.State == member.Suspect || now.Sub(m.Heard) > limit) {
			silent = append(silent, m.Info)
		}
	}
	var to receivers
	switch {
	case tree.ByRelays(c.self.ID):
		to.firstOf, to.probe = c.relayCandidates(tree, members)
	case tree.IsWatcher(c.self.ID):
		to.all = selectMembers(tree.Watchers(), members)
		to.probe = selectMembers(c.view.SilentBelow(now, tree.Relays(), c.maxReportAge(watcherHops)), members)
	default:
		to.all = selectMembers(tree.Watchers(), members)
	}
	if len(to.all) == 0 && len(to.firstOf) == 0 {
		to.all = c.seedMembers()
	}
	if len(silent) > 0 {
		to.probe = append(to.probe, silent[c.randIntN(len(silent))])
	}
	return to
}

// relayCandidates returns the relays that this instance reports to, and the
// watchers for when none of them answers. Those that have not answered lately
// are to be probed.
func (c *Cluster) relayCandidates(tree spread.Tree, members map[string]member.Info) (to, probe []member.Info) {
	for _, in := range selectMembers(slices.Concat(tree.RelaysOf(c.self.ID), tree.Watchers()), members) {
		if c.view.Failing(in.ID) {
			probe = append(probe, in)
		} else {
			to = append(to, in)
		}
	}
	return to, probe
}

// randIntN returns a random number below n.
func (c *Cluster) randIntN(n int) int { return int(c.cfg.Rand() * float64(n)) }

// selectMembers returns those of ids that are among members, in their order.
func selectMembers(ids []string, members map[string]member.Info) []member.Info {
	var to []member.Info
	for _, id := range ids {
		if in, ok := members[id]; ok {
			to = append(to, in)
		}
	}
	return to
}

// seedMembers returns the addresses to try while no live member is known.
func (c *Cluster) seedMembers() []member.Info {
	var to []member.Info
	for _, a := range c.cfg.Seeds {
		if a != c.cfg.Self.PeerAddress {
			to = append(to, member.Info{Zone: c.cfg.Self.Zone, Cell: c.cfg.Self.Cell, PeerAddress: a})
		}
	}
	return to
}

// relayReport returns what this instance tells the watchers of those that
// report to it, or nil. The reports are left out when they were told before.
func (c *Cluster) relayReport(now time.Time, tree spread.Tree) *member.Witnessed {
	if tree.IsWatcher(c.self.ID) {
		return nil
	}
	w := c.view.Below(now)
	if len(w.Reports) == 0 {
		return nil
	}
	if w.Digest == c.reportedDigest && !c.fullReportDue && w.Age <= c.maxReportAge(0) {
		w.Reports = nil
	}
	c.reportedDigest, c.fullReportDue = w.Digest, false
	return &w
}

// updateRelayUse tells the view whether relays are in use, and whom this instance
// sends every heartbeat then. The caller holds mu.
func (c *Cluster) updateRelayUse(now time.Time, tree spread.Tree) {
	if !tree.HasRelays() {
		c.view.Ask(now, nil)
		c.view.Watch(now, tree.IsWatcher(c.self.ID))
		return
	}
	asked := tree.Watchers()
	switch {
	case tree.IsWatcher(c.self.ID):
		asked = slices.Concat(asked, tree.Relays())
	case tree.ByRelays(c.self.ID):
		asked = tree.RelaysOf(c.self.ID)[:1]
	}
	c.view.Ask(now, asked)
	c.view.UseRelays(now, tree.IsWatcher(c.self.ID))
}

// propagateMemberChanges reports to new watchers at once, and has those below a watcher or
// relay ask at once who is alive, when that has changed. The caller holds mu.
func (c *Cluster) propagateMemberChanges(now time.Time) {
	d := c.discovery
	tree := c.currentTree(now)
	if !tree.HasRelays() && !c.view.RelaysUsed(now) {
		return
	}
	c.updateRelayUse(now, tree)
	if watchers := tree.Watchers(); !slices.Equal(watchers, d.knownWatchers) {
		d.knownWatchers = slices.Clone(watchers)
		c.fullReportDue = true
		signal(c.heartbeatDue)
	}
	if tree.Position(c.self.ID) != 0 && !tree.IsRelay(c.self.ID) {
		return
	}
	members := c.view.Digest(now)
	if members == d.announcedDigest || now.Sub(d.digestAnnouncedAt) < memberAnnounceSpacing {
		return
	}
	d.announcedDigest, d.digestAnnouncedAt = members, now
	d.enqueueAnnouncement(&instance.AnnounceRequest{From: c.view.Self(), Catalog: c.catalogPosition(), Members: members})
}
