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
	// directDistrust is how long a target that sends unasked bytes gets each
	// request on a connection of its own, when its answers carry the ids of
	// their requests.
	directDistrust = 5 * time.Second
	// directKeepAlive is the silence after which connections are checked.
	directKeepAlive = time.Second
	// directSilent is how long a request may wait for its answer before its
	// connection is doubted. It is above the work and the wait at a busy
	// target; a dead link shows earlier by the check.
	directSilent = 4 * time.Second
	// directFresh is how long after its last answer an idle connection is used
	// again.
	directFresh = 6 * time.Second
)

// direct reports whether this instance speaks to the targets of all zones.
func (n *Node) direct() bool { return n.settings.Dispatch.Mode == settings.DispatchDirect }

// dialOptions returns the options of connections to targets and instances.
func dialOptions(s *settings.Settings) upstream.Options {
	o := upstream.Options{DialTimeout: s.Limits.DialTimeout.Std(), AnswerHeaders: int64(s.Limits.ResponseHeaderMemory)}
	if s.Dispatch.Mode == settings.DispatchDirect {
		o.DistrustFor = directDistrust
		o.KeepAlive = directKeepAlive
		o.Generations = conngen.DefaultLimits()
		o.Generations.StallTimeout, o.Generations.MaxIdle = directSilent, directFresh
	}
	return o
}

// policyOf returns the policy of direct dispatch.
func policyOf(s *settings.Settings) steer.DirectPolicy {
	d := s.Dispatch
	return steer.DirectPolicy{
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

// liveInstances returns the ids of the instances that take work, this one
// included.
func (n *Node) liveInstances() []string {
	ids := []string{n.self.ID}
	for _, in := range n.cluster.Instances() {
		if in.ID != n.self.ID && !in.Leaving {
			ids = append(ids, in.ID)
		}
	}
	return ids
}

// spareShare is the number of instances of a caller's zone for each instance of
// another zone that is named beside them, so that a caller whose zone is lost
// knows whom to ask.
const spareShare = 4

// Near returns the instances that a caller at a place may use: those of its zone
// with a few of its region's other zones, or all when the region has none or its
// cell is silent.
func (n *Node) Near(at lookup.Location) []lookup.Instance {
	var zone, region, all []lookup.Instance
	for _, in := range n.view.Load().lookups {
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
	case len(zone) >= minNear:
		return append(zone, n.draw(region, max(1, len(zone)/spareShare))...)
	case len(zone)+len(region) > 0:
		return append(zone, region...)
	}
	return all
}

// minNear is the number of instances from which on a zone serves its callers by
// itself.
const minNear = 2

// draw returns count of list at random, or all when there are fewer.
func (n *Node) draw(list []lookup.Instance, count int) []lookup.Instance {
	count = min(count, len(list))
	for i := range count {
		j := i + n.random(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:count]
}

// refusal brings f into the form that callers read.
func (n *Node) refusal(f caller.Refusal) caller.Refusal {
	f.Fractional = n.dialect.FractionalRetry
	return f
}
