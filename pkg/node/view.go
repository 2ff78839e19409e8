package node

import (
	"maps"

	"github.com/jacinthramp/jacinthramp/pkg/decision/lookup"
	"github.com/jacinthramp/jacinthramp/pkg/peer/hop"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/peer/target"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// view is the immutable snapshot that the path of a request reads.
type view struct {
	tables  *table.Tables
	matcher *table.Matcher
	// targets has the targets of this zone by name.
	targets map[string]*target.Client
	// hops has the instances that requests can be passed to, by zone.
	hops map[string][]*hop.Client
	// lookups are the instances that look-up answers may name.
	lookups []lookup.Instance
	// list is what lookups and hops were built from.
	list []platform.Instance
}

// hopConnections bounds the connections to one other instance.
const hopConnections = 256

// emptyView is the view before the first tables.
func emptyView() *view {
	t := &table.Tables{}
	return &view{tables: t, matcher: table.NewMatcher(t)}
}

// refresh builds the next view from what the cluster knows.
func (n *Node) refresh() {
	old := n.view.Load()
	next := *old
	list := n.cluster.Instances()
	if t := n.cluster.Tables(); t != nil && t.Version > old.tables.Version {
		next.tables = t
		next.matcher = table.NewMatcher(t)
	}
	next.targets = n.targetClients(old, next.tables)
	if !sameList(list, old.list) {
		next.list = list
		next.hops = n.hopClients(old, list)
		next.lookups = n.lookupInstances(list)
	}
	n.view.Store(&next)
	closeGone(old, &next)
}

func sameList(a, b []platform.Instance) bool {
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
func (n *Node) targetClients(old *view, t *table.Tables) map[string]*target.Client {
	next := make(map[string]*target.Client)
	holders := n.zoneInstances()
	for _, p := range t.Pools {
		for _, tg := range p.Targets {
			if tg.Zone != n.self.Zone {
				continue
			}
			limit := max(tg.Connections/holders, 1)
			c, ok := old.targets[tg.Name]
			if !ok || c.Pool().Address() != tg.Address {
				c = target.New(n.dialer, tg.Name, tg.Address, limit)
			}
			c.Pool().SetLimit(limit)
			next[tg.Name] = c
		}
	}
	return next
}

// zoneInstances returns the number of this zone's listed instances, at least 1.
func (n *Node) zoneInstances() int {
	_, count := rankOf(n.cluster.Instances(), n.self)
	return count
}

// hopClients returns the clients of the other zones' instances that are not
// leaving, with the unchanged ones of old.
func (n *Node) hopClients(old *view, list []platform.Instance) map[string][]*hop.Client {
	byAddress := make(map[string]*hop.Client)
	for _, cs := range old.hops {
		for _, c := range cs {
			byAddress[c.Address()] = c
		}
	}
	next := make(map[string][]*hop.Client)
	for _, in := range list {
		if in.Zone == n.self.Zone || in.Leaving {
			continue
		}
		c, ok := byAddress[in.HopAddress]
		if !ok {
			c = hop.New(n.dialer, in.ID, in.HopAddress, hopConnections)
		}
		next[in.Zone] = append(next[in.Zone], c)
	}
	return next
}

// lookupInstances turns the list into what look-up answers name.
func (n *Node) lookupInstances(list []platform.Instance) []lookup.Instance {
	out := make([]lookup.Instance, 0, len(list))
	for _, in := range list {
		out = append(out, lookup.Instance{
			ID: in.ID, Address: in.CallerAddress, Zone: in.Zone, Region: in.Region, Leaving: in.Leaving,
		})
	}
	return out
}

// closeGone closes the clients of old that next no longer has.
func closeGone(old, next *view) {
	kept := make(map[any]bool)
	for _, c := range next.targets {
		kept[c] = true
	}
	for _, cs := range next.hops {
		for _, c := range cs {
			kept[c] = true
		}
	}
	for c := range maps.Values(old.targets) {
		if !kept[c] {
			c.Close()
		}
	}
	for _, cs := range old.hops {
		for _, c := range cs {
			if !kept[c] {
				c.Close()
			}
		}
	}
}
