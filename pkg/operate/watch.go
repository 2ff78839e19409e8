package operate

import (
	"context"
	"net/url"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/plan"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/operator"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// Snapshot is the state of the system that watch shows at one time.
type Snapshot struct {
	At time.Time `json:"at"`
	// Accepted is the latest version in the store, or 0 when it cannot be read.
	Accepted uint64 `json:"accepted_version"`
	// StoreError is set when the version or its tables cannot be read.
	StoreError string `json:"store_error,omitempty"`
	// InForce is true when at least one instance is listed and all report Accepted.
	InForce   bool            `json:"in_force"`
	Instances []InstanceState `json:"instances"`
	Pools     []PoolState     `json:"pools"`
}

// InstanceState is the state of one instance of the platform's list.
type InstanceState struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	Version  uint64 `json:"version"`
	Rejected uint64 `json:"rejected_version,omitempty"`
	Leaving  bool   `json:"leaving"`
	InFlight int    `json:"in_flight"`
	// Error is set when the instance did not respond.
	Error string `json:"error,omitempty"`
}

// PoolState sums up a pool over the instances of its region.
type PoolState struct {
	Pool     string `json:"pool"`
	Region   string `json:"region"`
	InFlight int    `json:"in_flight"`
	Queued   int    `json:"queued"`
	// Slots is the number of usable slots in the tables. Headroom is the fraction
	// of them that is free, from 0 to 1.
	Slots    int     `json:"slots"`
	Headroom float64 `json:"headroom"`
	// Draining is the number of leaving targets that have requests in flight: the
	// largest number that any instance reports.
	Draining int `json:"draining"`
	// LatencyMS and P99LatencyMS are the largest median and 99th percentile over
	// the instances, or 0 when none was measured.
	LatencyMS    float64 `json:"latency_ms"`
	P99LatencyMS float64 `json:"latency_p99_ms"`
}

// Snapshot reads the store and queries the instances once. When the list of
// instances cannot be read, it queries those of the earlier list. It returns the
// list that was used.
func (s *Session) Snapshot(ctx context.Context, earlier []platform.Instance) (Snapshot, []platform.Instance, error) {
	snap := Snapshot{At: s.now()}
	head, tables, err := s.readCurrent(ctx)
	if err != nil {
		snap.StoreError = err.Error()
		tables = &table.Tables{}
	}
	list, listErr := s.Instances.ListInstances(ctx)
	if listErr != nil {
		list = earlier
	}
	if err != nil && len(list) == 0 {
		return snap, list, err
	}
	snap.Accepted = head.Version
	reports := s.Admin.StatusOfAll(ctx, list)
	snap.Instances, snap.InForce = instanceStates(reports, head.Version)
	snap.InForce = snap.InForce && err == nil
	snap.Pools = poolStates(tables.WithDefaults(), reports)
	return snap, list, nil
}

// instanceStates converts the reports, and reports whether there is at least one
// and all are at version.
func instanceStates(reports []operator.StatusResult, version uint64) ([]InstanceState, bool) {
	inForce := len(reports) > 0
	var out []InstanceState
	for _, report := range reports {
		state := InstanceState{ID: report.Instance.ID, Zone: report.Instance.Zone, Leaving: report.Instance.Leaving}
		if report.Err != nil {
			state.Error = report.Err.Error()
			inForce = false
		} else {
			state.Version = report.Status.Version
			state.Rejected = report.Status.RejectedVersion
			state.Leaving = state.Leaving || report.Status.Leaving
			state.InFlight = report.Status.InFlight
			inForce = inForce && state.Version == version
		}
		out = append(out, state)
	}
	return out, inForce
}

// poolStates sums up each pool over the instances of its region.
func poolStates(t *table.Tables, reports []operator.StatusResult) []PoolState {
	var out []PoolState
	for i := range t.Pools {
		p := &t.Pools[i]
		state := PoolState{Pool: p.Name, Region: p.Region, Slots: plan.UsableSlots(p)}
		for _, report := range reports {
			for _, status := range report.Status.Pools {
				if status.Pool == p.Name && report.Instance.Region == p.Region {
					state.add(status)
				}
			}
		}
		if state.Slots > 0 {
			state.Headroom = max(0, 1-float64(state.InFlight)/float64(state.Slots))
		}
		out = append(out, state)
	}
	return out
}

// add merges the status reported by one instance.
func (s *PoolState) add(status wire.PoolStatus) {
	s.InFlight += status.InFlight
	s.Queued += status.Queued
	s.Draining = max(s.Draining, status.Draining)
	s.LatencyMS = max(s.LatencyMS, status.MedianLatencyMS)
	s.P99LatencyMS = max(s.P99LatencyMS, status.P99LatencyMS)
}

// watchInterval is the time between two snapshots of Watch.
const watchInterval = time.Second

// Watch calls show with a new snapshot every second until ctx is done or show
// fails. With once, it calls show once and returns the error of the snapshot.
func (s *Session) Watch(ctx context.Context, once bool, show func(Snapshot) error) error {
	var list []platform.Instance
	for {
		snap, seen, err := s.Snapshot(ctx, list)
		if err != nil && once {
			return err
		}
		list = seen
		if err := show(snap); err != nil || once {
			return err
		}
		if s.sleep(ctx, watchInterval) != nil {
			return nil
		}
	}
}

// WaitResult is the outcome of AwaitInForce.
type WaitResult struct {
	Version uint64 `json:"version"`
	// Seconds is the time from the start of the wait, right after the store's reply
	// to the edit, to the first read that finds the version on every instance.
	Seconds float64 `json:"in_force_seconds"`
}

// awaitInterval is the time between two reads of AwaitInForce.
const awaitInterval = 100 * time.Millisecond

// AwaitInForce waits up to limit until every listed instance reports the version
// of head or a higher one. Error: fault.KindPeerUnavailable, which names the
// instances that do not, or the error of reading the list.
func (s *Session) AwaitInForce(ctx context.Context, head tablestore.Head, limit time.Duration) (WaitResult, error) {
	start := s.now()
	for {
		behind, err := s.instancesBehind(ctx, head.Version)
		if err == nil && len(behind) == 0 {
			return WaitResult{Version: head.Version, Seconds: s.now().Sub(start).Seconds()}, nil
		}
		if s.now().Sub(start) >= limit || s.sleep(ctx, awaitInterval) != nil {
			if err != nil {
				return WaitResult{}, err
			}
			return WaitResult{}, fault.New(fault.KindPeerUnavailable, "version %d was accepted but is not yet in force on %v", head.Version, behind)
		}
	}
}

// instancesBehind lists the instances that are below version or did not respond.
func (s *Session) instancesBehind(ctx context.Context, version uint64) ([]string, error) {
	list, err := s.Instances.ListInstances(ctx)
	if err != nil {
		return nil, err
	}
	if len(list) == 0 {
		return []string{"any instance (the platform lists none)"}, nil
	}
	var out []string
	for _, report := range s.Admin.StatusOfAll(ctx, list) {
		if report.Err != nil || report.Status.Version < version {
			out = append(out, report.Instance.ID)
		}
	}
	return out, nil
}

// ExplainQuery describes a request to explain.
type ExplainQuery struct {
	// Instance is the id of the instance to query. Empty means the first that
	// responds.
	Instance string
	Route    string
	Host     string
	Path     string
	Method   string
	Member   string
	// Object is the object that the request is about, Workspace the name of the caller's
	// workspace, and Zone its availability zone. Empty means none, and for Zone that of the
	// instance.
	Object    string
	Workspace string
	Zone      string
}

// Explain queries an instance for the pool and target that it would choose for a
// request, and why. Errors: fault.KindBadRequest if the platform's list does not have the
// instance, fault.KindPeerUnavailable if none responds, and those of the instance:
// fault.KindUnknownRoute, and fault.KindBadRequest for an unknown workspace or zone.
func (s *Session) Explain(ctx context.Context, q ExplainQuery) (wire.Explanation, error) {
	list, err := s.Instances.ListInstances(ctx)
	if err != nil {
		return wire.Explanation{}, err
	}
	values := url.Values{}
	for key, value := range map[string]string{
		wire.QueryRoute: q.Route, wire.QueryHost: q.Host, wire.QueryPath: q.Path, wire.QueryMethod: q.Method, wire.QueryMember: q.Member,
		wire.QueryObject: q.Object, wire.QueryWorkspace: q.Workspace, wire.QueryZone: q.Zone,
	} {
		if value != "" {
			values.Set(key, value)
		}
	}
	err = fault.New(fault.KindPeerUnavailable, "the platform's list has no instance")
	if q.Instance != "" {
		err = fault.New(fault.KindBadRequest, "the platform's list has no instance %q", q.Instance)
	}
	for _, in := range list {
		if q.Instance != "" && in.ID != q.Instance {
			continue
		}
		var e wire.Explanation
		e, err = s.Admin.Explain(ctx, in, values)
		if fault.KindOf(err) != fault.KindPeerUnavailable {
			return e, err
		}
	}
	return wire.Explanation{}, err
}
