package node

import (
	"slices"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/lookup"
	"github.com/jacinthramp/jacinthramp/pkg/peer/hop"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/peer/target"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// snapshot is the immutable snapshot that the path of a request reads.
type snapshot struct {
	tables *table.Tables
	// tablesSince is when the tables came into force here.
	tablesSince time.Time
	matcher     *table.Matcher
	// targets has the targets of this zone by name.
	targets map[string]*target.Client
	// zonePeers has the instances that requests can be passed to, by zone.
	zonePeers map[string][]*hop.Client
	// peers has the listed instances by incarnation, for repeats.
	peers map[peerKey]*hop.Client
	// lookupCandidates are the instances that look-up answers may name.
	lookupCandidates []lookup.Instance
	// sites are the places that callers' blocks may name.
	sites map[string]lookup.Place
	// instances is what hops and, with the silent cells, lookups were built from.
	instances        []platform.Instance
	unreachableCells []string
}

// peerKey identifies one incarnation of an instance.
type peerKey struct{ instance, incarnation string }

// maxPeerConnections bounds the connections to one other instance.
const maxPeerConnections = 256

// emptySnapshot is the view before the first tables.
func emptySnapshot() *snapshot {
	t := &table.Tables{}
	return &snapshot{tables: t, matcher: table.NewMatcher(t)}
}

// rebuildSnapshot builds the next view from what the cluster knows.
func (n *Node) rebuildSnapshot() {
	old := n.snapshot.Load()
	next := *old
	list := n.cluster.Instances()
	if t := n.cluster.Tables(); t != nil && t.Version > old.tables.Version {
		next.tables, next.tablesSince = t, n.now()
		next.matcher = table.NewMatcher(t)
	}
	next.targets = n.targetClients(old, next.tables)
	if !equalInstances(list, old.instances) {
		next.instances = list
		next.peers = n.peerClients(old, list)
		next.zonePeers = n.zonePeerClients(next.peers, list)
	}
	if silent := n.cluster.SilentCells(); !equalInstances(list, old.instances) || !slices.Equal(silent, old.unreachableCells) {
		next.unreachableCells = silent
		next.lookupCandidates = lookupCandidates(list, silent)
	}
	next.sites = siteLocations(next.tables, next.lookupCandidates)
	n.snapshot.Store(&next)
	n.drains.retain(next.targets)
	closeRemoved(old, &next)
}

func equalInstances(a, b []platform.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// targetClients returns the clients of this zone's targets, with the
// unchanged ones of old.
func (n *Node) targetClients(old *snapshot, t *table.Tables) map[string]*target.Client {
	next := make(map[string]*target.Client)
	holders := n.targetSharers()
	for _, p := range t.Pools {
		for _, tg := range p.Targets {
			if tg.Zone != n.self.Zone && !n.direct() {
				continue
			}
			limit := max(tg.Connections/holders, 1)
			c, ok := old.targets[tg.Name]
			if !ok || c.Pool().Address() != tg.Address {
				c = target.New(n.dialer, target.Options{
					Name: tg.Name, Address: tg.Address, Connections: limit, Dialect: n.dialect, HealthPath: tg.HealthPath,
					MaxRetryAfter: n.settings.Limits.MaxRetryAfter.Std(),
				})
			}
			c.Pool().SetLimit(limit)
			next[tg.Name] = c
		}
	}
	return next
}

// targetSharers returns the number of listed instances that speak to the same
// targets as this one, at least 1.
func (n *Node) targetSharers() int {
	count := 0
	for _, in := range n.cluster.Instances() {
		if in.Zone == n.self.Zone || n.direct() {
			count++
		}
	}
	return max(count, 1)
}

// peerClients returns the clients of all other listed instances, with the
// unchanged ones of old.
func (n *Node) peerClients(old *snapshot, list []platform.Instance) map[peerKey]*hop.Client {
	next := make(map[peerKey]*hop.Client)
	for _, in := range list {
		if in.ID == n.self.ID {
			continue
		}
		key := peerKey{in.ID, in.Incarnation}
		c, ok := old.peers[key]
		if !ok || c.Address() != in.HopAddress {
			c = hop.New(n.dialer, in.ID, in.HopAddress, maxPeerConnections)
		}
		next[key] = c
	}
	return next
}

// zonePeerClients returns the clients of the other zones' instances that are not
// leaving.
func (n *Node) zonePeerClients(homes map[peerKey]*hop.Client, list []platform.Instance) map[string][]*hop.Client {
	next := make(map[string][]*hop.Client)
	for _, in := range list {
		if c, ok := homes[peerKey{in.ID, in.Incarnation}]; ok && in.Zone != n.self.Zone && !in.Leaving {
			next[in.Zone] = append(next[in.Zone], c)
		}
	}
	return next
}

// lookupCandidates turns the list into what look-up answers name.
func lookupCandidates(list []platform.Instance, silent []string) []lookup.Instance {
	out := make([]lookup.Instance, 0, len(list))
	for _, in := range list {
		out = append(out, lookup.Instance{
			ID: in.ID, Address: in.CallerAddress, Zone: in.Zone, Region: in.Region,
			Incarnation: in.Incarnation, Leaving: in.Leaving, Silent: slices.Contains(silent, in.Group()),
		})
	}
	return out
}

// closeRemoved closes the clients of old that next no longer has.
func closeRemoved(old, next *snapshot) {
	for name, c := range old.targets {
		if next.targets[name] != c {
			c.Close()
		}
	}
	for key, c := range old.peers {
		if next.peers[key] != c {
			c.Close()
		}
	}
}
