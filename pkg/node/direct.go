package node

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthramp/jacinthramp/pkg/decision/conngen"
	"github.com/jacinthramp/jacinthramp/pkg/decision/lookup"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
)

const (
	// directIsolation is how long a target that sends unasked bytes gets each
	// request on a connection of its own, when its answers carry the ids of
	// their requests.
	directIsolation = 5 * time.Second
	// directKeepAlive is the silence after which connections are checked.
	directKeepAlive = time.Second
	// directSuspectAfter is how long a request may wait for its answer before its
	// connection is doubted. It is above the work and the wait at a busy
	// target; a dead link shows earlier by the check.
	directSuspectAfter = 4 * time.Second
	// directReuseWithin is how long after its last answer an idle connection is used
	// again.
	directReuseWithin = 6 * time.Second
)

// direct reports whether this instance speaks to the targets of all zones.
func (n *Node) direct() bool { return n.settings.Dispatch.Mode == settings.DispatchDirect }

// dialOptions returns the options of connections to targets and instances.
func dialOptions(s *settings.Settings) upstream.Options {
	o := upstream.Options{DialTimeout: s.Limits.DialTimeout.Std(), AnswerHeaders: int64(s.Limits.AnswerHeaders)}
	if s.Dispatch.Mode == settings.DispatchDirect {
		o.DistrustFor = directIsolation
		o.KeepAlive = directKeepAlive
		o.Generations = conngen.DefaultLimits()
		o.Generations.SilentAfter, o.Generations.FreshFor = directSuspectAfter, directReuseWithin
	}
	return o
}

// directPolicy returns the policy of direct dispatch.
func directPolicy(s *settings.Settings) steer.Direct {
	d := s.Dispatch
	return steer.Direct{
		ShiftCap: d.ShiftCap, ShiftWindow: d.ShiftWindow.Std(),
		RetryRatio: d.RetryRatio, RetryReserve: d.RetryReserve,
	}
}

// objectKey returns the key of a request's object; zero means none.
func objectKey(object string) uint64 {
	if object == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(object))
}

// activeInstanceIDs returns the ids of the instances that take work, this one
// included.
func (n *Node) activeInstanceIDs() []string {
	ids := []string{n.self.ID}
	for _, in := range n.cluster.Instances() {
		if in.ID != n.self.ID && !in.Leaving {
			ids = append(ids, in.ID)
		}
	}
	return ids
}

// instancesPerSpare is the number of instances of a caller's zone for each instance of
// another zone that is named beside them, so that a caller whose zone is lost
// knows whom to ask.
const instancesPerSpare = 4

// InstancesNear returns the instances that a caller at a place may use: those of its zone
// with a few of its region's other zones, or all when the region has none or its
// cell is silent.
func (n *Node) InstancesNear(at lookup.Place) []lookup.Instance {
	var zone, region, all []lookup.Instance
	for _, in := range n.snapshot.Load().lookupCandidates {
		switch {
		case !in.Usable() || in.ID == n.self.ID && n.leaving():
			continue
		case in.Zone == at.Zone:
			zone = append(zone, in)
		case in.Region == at.Region:
			region = append(region, in)
		}
		all = append(all, in)
	}
	switch {
	case len(zone) >= minZoneInstances:
		return append(zone, n.sample(region, max(1, len(zone)/instancesPerSpare))...)
	case len(zone)+len(region) > 0:
		return append(zone, region...)
	}
	return all
}

// minZoneInstances is the number of instances from which on a zone serves its callers by
// itself.
const minZoneInstances = 2

// sample returns count of list at random, or all when there are fewer.
func (n *Node) sample(list []lookup.Instance, count int) []lookup.Instance {
	count = min(count, len(list))
	for i := range count {
		j := i + n.randomIndex(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:count]
}

// withDialect brings f into the form that callers read.
func (n *Node) withDialect(f caller.Refusal) caller.Refusal {
	f.Fractional = n.dialect.FractionalRetry
	return f
}
