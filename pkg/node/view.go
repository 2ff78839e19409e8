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

// view is the immutable snapshot that the path of a request reads.
type view struct {
	tables *table.Tables
	// since is when the tables came into force here.
	since   time.Time
	matcher *table.Matcher
	// targets has the targets of this zone by name.
	targets map[string]*target.Client
	// hops has the instances that requests can be passed to, by zone.
	hops map[string][]*hop.Client
	// homes has the listed instances by incarnation, for repeats.
	homes map[home]*hop.Client
	// lookups are the instances that look-up answers may name.
	lookups []lookup.Instance
	// sites are the places that callers' blocks may name.
	sites map[string]lookup.Place
	// list is what hops and, with the silent cells, lookups were built from.
	list   []platform.Instance
	silent []string
}

// home identifies one incarnation of an instance.
type home struct{ instance, incarnation string }

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
		next.tables, next.since = t, n.now()
		next.matcher = table.NewMatcher(t)
	}
	next.targets = n.targetClients(old, next.tables)
	if !sameList(list, old.list) {
		next.list = list
		next.homes = n.homeClients(old, list)
		next.hops = n.hopClients(next.homes, list)
	}
	if silent := n.cluster.UnreachableCells(); !sameList(list, old.list) || !slices.Equal(silent, old.silent) {
		next.silent = silent
		next.lookups = lookupInstances(list, silent)
	}
	next.sites = sitesOf(next.tables, next.lookups)
	n.view.Store(&next)
	n.drains.forget(next.targets)
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

// zoneInstances returns the number of listed instances that speak to the same
// targets as this one, at least 1.
func (n *Node) zoneInstances() int {
	count := 0
	for _, in := range n.cluster.Instances() {
		if in.Zone == n.self.Zone || n.direct() {
			count++
		}
	}
	return max(count, 1)
}

// homeClients returns the clients of all other listed instances, with the
// unchanged ones of old.
func (n *Node) homeClients(old *view, list []platform.Instance) map[home]*hop.Client {
	next := make(map[home]*hop.Client)
	for _, in := range list {
		if in.ID == n.self.ID {
			continue
		}
		key := home{in.ID, in.Incarnation}
		c, ok := old.homes[key]
		if !ok || c.Address() != in.HopAddress {
			c = hop.New(n.dialer, in.ID, in.HopAddress, hopConnections)
		}
		next[key] = c
	}
	return next
}

// hopClients returns the clients of the other zones' instances that are not
// leaving.
func (n *Node) hopClients(homes map[home]*hop.Client, list []platform.Instance) map[string][]*hop.Client {
	next := make(map[string][]*hop.Client)
	for _, in := range list {
		if c, ok := homes[home{in.ID, in.Incarnation}]; ok && in.Zone != n.self.Zone && !in.Leaving {
			next[in.Zone] = append(next[in.Zone], c)
		}
	}
	return next
}

// lookupInstances turns the list into what look-up answers name.
func lookupInstances(list []platform.Instance, silent []string) []lookup.Instance {
	out := make([]lookup.Instance, 0, len(list))
	for _, in := range list {
		out = append(out, lookup.Instance{
			ID: in.ID, Address: in.CallerAddress, Zone: in.Zone, Region: in.Region,
			Incarnation: in.Incarnation, Leaving: in.Leaving, Silent: slices.Contains(silent, in.Group()),
		})
	}
	return out
}

// closeGone closes the clients of old that next no longer has.
func closeGone(old, next *view) {
	for name, c := range old.targets {
		if next.targets[name] != c {
			c.Close()
		}
	}
	for key, c := range old.homes {
		if next.homes[key] != c {
			c.Close()
		}
	}
}
