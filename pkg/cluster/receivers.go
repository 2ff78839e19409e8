package cluster

import (
	"slices"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/decision/spread"
)

// receivers are the members that a heartbeat is sent to.
type receivers struct {
	// all receive it at the same time.
	all []member.Info
	// firstOf receive it one after the other until one replies with recent data.
	firstOf []member.Info
	// probe receive it to detect whether they have terminated or can be reached
	// again. Nothing waits for their replies.
	probe []member.Info
}

// The numbers of instances that forward a member's report before it reaches an
// instance of the given role: a watcher, another member, or a leaf, which is a
// member that reports to a relay. relayHops is added for the watchers and relays
// of a cell with relays.
const (
	watcherHops = 0
	memberHops  = 1
	relayHops   = 1
	leafHops    = 3
)

// memberAnnounceSpacing is the shortest time between two announcements of
// changed members.
const memberAnnounceSpacing = 300 * time.Millisecond

// maxReportAge returns the age that the report of a live member may reach when
// hops instances forward it: each of them forwards what it has received once per
// heartbeat interval.
func (c *Cluster) maxReportAge(hops int) time.Duration {
	return time.Duration(2*hops+3) * c.timing.HeartbeatInterval / 2
}

// reportHops returns the number of instances that forward the reports of the
// other members to this instance.
func (c *Cluster) reportHops(tree spread.Tree) int {
	hops := memberHops
	if tree.IsWatcher(c.self.ID) {
		hops = watcherHops
	}
	switch {
	case tree.UsesRelay(c.self.ID):
		return leafHops
	case tree.HasRelays():
		return hops + relayHops
	}
	return hops
}

// receivers returns the receivers of a heartbeat: the watchers or a relay, and as
// a probe one random member that is suspected or has an overdue report. The
// caller holds mu.
func (c *Cluster) receivers(now time.Time, tree spread.Tree) receivers {
	members := map[string]member.Info{}
	var overdue []member.Info
	limit := c.maxReportAge(c.reportHops(tree))
	for _, m := range c.view.CellMembers(now, c.cell) {
		members[m.ID] = m.Info
		if !tree.IsWatcher(m.ID) && (m.State == member.Suspect || now.Sub(m.LastSeen) > limit) {
			overdue = append(overdue, m.Info)
		}
	}
	var to receivers
	switch {
	case tree.UsesRelay(c.self.ID):
		to.firstOf, to.probe = c.relayCandidates(tree, members)
	case tree.IsWatcher(c.self.ID):
		to.all = selectMembers(tree.Watchers(), members)
		to.probe = selectMembers(c.view.UnseenDownstream(now, tree.Relays(), c.maxReportAge(watcherHops)), members)
	default:
		to.all = selectMembers(tree.Watchers(), members)
	}
	if len(to.all) == 0 && len(to.firstOf) == 0 {
		to.all = c.seedMembers()
	}
	if len(overdue) > 0 {
		to.probe = append(to.probe, overdue[c.randIntN(len(overdue))])
	}
	return to
}

// relayCandidates returns the relays that this instance reports to, followed by
// the watchers as a fallback. Those whose last call failed are returned as probe.
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

// randIntN returns a random number from 0 to n-1.
func (c *Cluster) randIntN(n int) int { return int(c.cfg.Rand() * float64(n)) }

// selectMembers returns the members with the given ids, in the order of ids,
// without those that are not in members.
func selectMembers(ids []string, members map[string]member.Info) []member.Info {
	var to []member.Info
	for _, id := range ids {
		if in, ok := members[id]; ok {
			to = append(to, in)
		}
	}
	return to
}

// seedMembers returns the configured seeds as members of the own cell. They have
// no id.
func (c *Cluster) seedMembers() []member.Info {
	var to []member.Info
	for _, a := range c.cfg.Seeds {
		if a != c.cfg.Self.PeerAddress {
			to = append(to, member.Info{Zone: c.cfg.Self.Zone, Cell: c.cfg.Self.Cell, PeerAddress: a})
		}
	}
	return to
}

// relayReport returns what this instance reports to the watchers about the
// members downstream, or nil if it has none. The list of the members is left out
// if it is the same as in the last report, no watcher has requested it, and all
// of them were seen recently. The caller holds mu.
func (c *Cluster) relayReport(now time.Time, tree spread.Tree) *member.ReportSet {
	if tree.IsWatcher(c.self.ID) {
		return nil
	}
	report := c.view.Downstream(now)
	if len(report.Reports) == 0 {
		return nil
	}
	if report.Digest == c.reportedDigest && !c.fullReportDue && report.Age <= c.maxReportAge(0) {
		report.Reports = nil
	}
	c.reportedDigest, c.fullReportDue = report.Digest, false
	return &report
}

// updateRelayUse sets in the view whether relays are in use, whether this
// instance is a watcher, and which members it then sends every heartbeat to. The
// caller holds mu.
func (c *Cluster) updateRelayUse(now time.Time, tree spread.Tree) {
	if !tree.HasRelays() {
		c.view.ExpectReplies(now, nil)
		c.view.SetWatcher(now, tree.IsWatcher(c.self.ID))
		return
	}
	expected := tree.Watchers()
	switch {
	case tree.IsWatcher(c.self.ID):
		expected = slices.Concat(expected, tree.Relays())
	case tree.UsesRelay(c.self.ID):
		expected = tree.RelaysOf(c.self.ID)[:1]
	}
	c.view.ExpectReplies(now, expected)
	c.view.SetRelaysInUse(now, tree.IsWatcher(c.self.ID))
}

// propagateMemberChanges speeds up the propagation of changes in a cell with
// relays. If the watchers have changed, it triggers a heartbeat with a full
// report. If the members have changed, the first instance and the relays announce
// their digest, so that the downstream members request the changes at once. The
// caller holds mu.
func (c *Cluster) propagateMemberChanges(now time.Time) {
	d := c.discovery
	tree := c.currentTree(now)
	if !tree.HasRelays() && !c.view.RelaysInUse(now) {
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
	digest := c.view.Digest(now)
	if digest == d.announcedDigest || now.Sub(d.digestAnnouncedAt) < memberAnnounceSpacing {
		return
	}
	d.announcedDigest, d.digestAnnouncedAt = digest, now
	c.announceDigest(now, digest)
}
