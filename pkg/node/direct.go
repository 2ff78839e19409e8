package node

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthramp/jacinthramp/pkg/decision/conngen"
	"github.com/jacinthramp/jacinthramp/pkg/decision/connpool"
	"github.com/jacinthramp/jacinthramp/pkg/decision/lookup"
	"github.com/jacinthramp/jacinthramp/pkg/decision/mechanism"
	"github.com/jacinthramp/jacinthramp/pkg/decision/ratelimit"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
)

const (
	// directReuseSuspension is how long connections to a target are not reused after
	// it sent unsolicited bytes. It is for targets whose responses carry the ids of
	// their requests.
	directReuseSuspension = 5 * time.Second
	// directKeepAlive is the idle time after which a connection is probed by TCP
	// keep-alive.
	directKeepAlive = time.Second
	// directStallTimeout is how long a request may wait for its response before its
	// connection counts as stalled. It exceeds the queueing and service time at a
	// busy target; keep-alive detects a dead link earlier.
	directStallTimeout = 4 * time.Second
	// directMaxIdle is the longest idle time after which a connection is reused whose
	// target announces none, and directMaxAnnouncedIdle that of the others.
	directMaxIdle          = 6 * time.Second
	directMaxAnnouncedIdle = 30 * time.Second
)

// direct reports whether this instance dispatches to the targets of all zones.
func (n *Node) direct() bool { return n.settings.Dispatch.Mode == settings.DispatchDirect }

// dialOptions returns the options of the connections to targets and instances.
func dialOptions(s *settings.Settings) upstream.Options {
	o := upstream.Options{DialTimeout: s.Limits.DialTimeout.Std(), ResponseHeaderMemory: int64(s.Limits.ResponseHeaderMemory)}
	if s.Dispatch.Mode == settings.DispatchDirect {
		o.ReuseSuspension = directReuseSuspension
		o.KeepAlive = directKeepAlive
		o.ConnectionLimits = conngen.Limits{StallTimeout: directStallTimeout}
		o.IdleLimits = connpool.DefaultLimits()
		o.IdleLimits.MaxIdle, o.IdleLimits.MaxAnnounced = directMaxIdle, directMaxAnnouncedIdle
	}
	return o
}

// directPolicy returns the policy of direct dispatch that s configures.
func directPolicy(s *settings.Settings) steer.DirectPolicy {
	d := s.Dispatch
	// The names were checked when the settings were loaded.
	without, _, _ := mechanism.ParseSet(d.Without)
	return steer.DirectPolicy{
		ShiftCap: d.ShiftCap, ShiftWindow: d.ShiftWindow.Std(),
		RetryRatio: d.RetryRatio, RetryReserve: d.RetryReserve,
		Without: without,
	}
}

// objectKey returns the hash of object by which requests are assigned to targets,
// or zero without an object.
func objectKey(object string) uint64 {
	if object == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(object))
}

// members returns the instances that may be sending requests to targets, including this
// one unless it is leaving, and whether these are all; see Cluster.Members.
func (n *Node) members() (list []ratelimit.Member, complete bool) {
	instances, complete := n.cluster.Members()
	for _, in := range instances {
		if !in.Leaving {
			list = append(list, ratelimit.Member{ID: in.ID, Zone: in.Zone, Region: in.Region})
		}
	}
	return list, complete
}

// instancesPerSpare is the number of instances of the caller's zone for each
// instance of another zone that is named as well. A caller whose zone fails uses
// the instances of other zones.
const instancesPerSpare = 4

// InstancesNear returns the instances that a caller at location may use for host:
// those of its zone and a few of the other zones of its region. If the region has
// no usable instance, for example because its cell is unreachable, it returns those of
// other regions that lookup.Select allows. It returns none before the first tables, which
// name the regions that host allows. ttl is the time to live of the response.
func (n *Node) InstancesNear(host string, location lookup.Location) (named []lookup.Instance, ttl time.Duration) {
	snap := n.snapshot.Load()
	q := n.query(snap, location, snap.hostRegions.Of(host))
	if snap.tables.Version > 0 {
		named = n.nearest(lookup.Select(q))
	}
	scope := n.recordLookup(host, q, named)
	return named, lookup.LimitTTL(n.settings.Lookup.MaxTTL.Std(), scope)
}

// nearest returns the nearest candidates: those of the caller's region, if there are
// any.
func (n *Node) nearest(c lookup.Candidates) []lookup.Instance {
	switch {
	case len(c.Zone) >= minZoneInstances:
		return append(c.Zone, n.sample(c.Region, max(1, len(c.Zone)/instancesPerSpare))...)
	case len(c.Zone)+len(c.Region) > 0:
		return append(c.Zone, c.Region...)
	}
	return c.Others
}

// minZoneInstances is the number of usable instances that a zone needs to serve its
// callers. A caller in a zone with fewer gets all instances of its region.
const minZoneInstances = 2

// sample returns count random elements of instances, or all if there are fewer. It
// reorders instances.
func (n *Node) sample(instances []lookup.Instance, count int) []lookup.Instance {
	count = min(count, len(instances))
	for i := range count {
		j := i + n.randomIndex(len(instances)-i)
		instances[i], instances[j] = instances[j], instances[i]
	}
	return instances[:count]
}

// withDialect returns refusal in the form that the dialect's callers expect.
func (n *Node) withDialect(refusal caller.Refusal) caller.Refusal {
	refusal.FractionalRetryAfter = n.dialect.FractionalRetryAfter
	refusal.KeyScheme = n.dialect.KeyScheme
	return refusal
}
