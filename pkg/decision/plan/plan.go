// Package plan computes what an edit of the tables changes: the rows, the traffic
// that moves between pools, how long the shift caps make that take, and the capacity
// of pools and regions. The package is pure.
package plan

import (
	"fmt"
	"math"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/shift"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Plan describes what an edit of the tables changes.
type Plan struct {
	// BaseVersion is the version of the tables that the edit is based on.
	BaseVersion uint64 `json:"base_version"`
	// Changes lists the rows and fields that differ.
	Changes []table.Change `json:"changes"`
	// Moves lists the shares of traffic that move between pools.
	Moves []Move `json:"moves"`
	// Capacities lists the pools and regions whose capacity changes.
	Capacities []CapacityChange `json:"capacities"`
	// Warnings describes consequences that are valid but may be unintended.
	Warnings []string `json:"warnings"`
}

// Move is a part of a route's traffic that moves from one pool to another.
type Move struct {
	Route string `json:"route"`
	// From is empty for traffic that no pool receives before the edit. To is empty
	// for traffic that no pool receives after it.
	From string `json:"from"`
	To   string `json:"to"`
	// Share is the fraction of the route's traffic that moves, from 0 to 1.
	Share float64 `json:"share"`
	// Seconds is how long the move takes under the shift caps.
	Seconds float64 `json:"seconds"`
}

// CapacityChange is a change of the capacity of a pool or region.
type CapacityChange struct {
	// Row is the kind and name of the row, for example "pool a".
	Row string `json:"row"`
	// Unit is the quantity that Old and New give: "usable slots" of a pool or the
	// "limit" of a region.
	Unit string `json:"unit"`
	Old  int    `json:"old"`
	New  int    `json:"new"`
}

// String describes m in one line for operators.
func (m Move) String() string {
	return fmt.Sprintf("route %s: %.1f%% of the traffic moves from %s to %s, within %.1f s",
		m.Route, 100*m.Share, poolOrNone(m.From), poolOrNone(m.To), m.Seconds)
}

// String describes c in one line for operators.
func (c CapacityChange) String() string {
	return fmt.Sprintf("%s: %s %d -> %d (%+d)", c.Row, c.Unit, c.Old, c.New, c.New-c.Old)
}

// poolOrNone formats the name of a pool, which may be empty.
func poolOrNone(name string) string {
	if name == "" {
		return "no pool"
	}
	return "pool " + name
}

// Compute returns what changes when next replaces current and is accepted at now.
func Compute(current, next *table.Tables, now time.Time) Plan {
	old, after := current.WithDefaults(), next.WithDefaults()
	after.AcceptedAt = now
	after.Shifts = nil
	if current.Version > 0 {
		after.Shifts = shift.Snapshot(old, now)
	}
	p := Plan{BaseVersion: current.Version, Changes: table.Diff(old, after)}
	for i := range after.Routes {
		if old.Route(after.Routes[i].Name) != nil {
			p.Moves = append(p.Moves, routeMoves(after, &after.Routes[i])...)
		}
	}
	p.Capacities = capacityChanges(old, after)
	p.Warnings = editWarnings(old, after)
	return p
}

// Empty reports whether the edit changes nothing.
func (p Plan) Empty() bool { return len(p.Changes) == 0 }

const (
	// maxRampDuration exceeds the duration of any ramp that occurs in practice.
	maxRampDuration = 365 * 24 * time.Hour
	// minReportedShare is the share up to which a change is not reported.
	minReportedShare = 1e-6
)

// routeMoves returns the moves of route r. It matches pools whose shares fall with
// pools whose shares rise, in order.
func routeMoves(t *table.Tables, r *table.Route) []Move {
	var losing, gaining []shareChange
	sum := 0.0
	final := shift.PlannedShares(t, r, t.AcceptedAt.Add(maxRampDuration))
	for _, ps := range final {
		delta := ps.Share - shareAtAcceptance(t, r, ps.Pool)
		sum += delta
		switch {
		case delta > minReportedShare:
			gaining = append(gaining, shareChange{ps.Pool, delta})
		case delta < -minReportedShare:
			losing = append(losing, shareChange{ps.Pool, -delta})
		}
	}
	if sum > minReportedShare {
		losing = append(losing, shareChange{"", sum})
	}
	if sum < -minReportedShare {
		gaining = append(gaining, shareChange{"", -sum})
	}
	var moves []Move
	for len(losing) > 0 && len(gaining) > 0 {
		from, to := &losing[0], &gaining[0]
		share := math.Min(from.share, to.share)
		moves = append(moves, Move{Route: r.Name, From: from.pool, To: to.pool, Share: share, Seconds: rampSeconds(t, r, to.pool)})
		from.share -= share
		to.share -= share
		losing, gaining = dropExhausted(losing), dropExhausted(gaining)
	}
	return moves
}

// shareChange is the amount by which the share of one pool rises or falls. pool is
// empty for traffic that no pool receives.
type shareChange struct {
	pool  string
	share float64
}

// dropExhausted removes the first change when it has been matched completely.
func dropExhausted(changes []shareChange) []shareChange {
	if changes[0].share <= minReportedShare {
		return changes[1:]
	}
	return changes
}

// shareAtAcceptance returns the share of a pool when t was accepted.
func shareAtAcceptance(t *table.Tables, r *table.Route, pool string) float64 {
	hasShifts := false
	for _, s := range t.Shifts {
		if s.Route != r.Name {
			continue
		}
		hasShifts = true
		if s.Pool == pool {
			return s.Share
		}
	}
	if hasShifts {
		return 0
	}
	return shareAt(t, r, pool, t.AcceptedAt)
}

// shareAt returns the planned share of a pool at the given time.
func shareAt(t *table.Tables, r *table.Route, pool string, at time.Time) float64 {
	for _, s := range shift.PlannedShares(t, r, at) {
		if s.Pool == pool {
			return s.Share
		}
	}
	return 0
}

// rampSeconds returns how many seconds after acceptance a pool reaches its final
// share, found by bisection to within 10 ms.
func rampSeconds(t *table.Tables, r *table.Route, pool string) float64 {
	if pool == "" {
		return 0
	}
	final := shareAt(t, r, pool, t.AcceptedAt.Add(maxRampDuration))
	done := func(d time.Duration) bool {
		return shareAt(t, r, pool, t.AcceptedAt.Add(d)) >= final-minReportedShare
	}
	hi := time.Second
	for !done(hi) && hi < maxRampDuration {
		hi *= 2
	}
	lo := time.Duration(0)
	for hi-lo > 10*time.Millisecond {
		mid := lo + (hi-lo)/2
		if done(mid) {
			hi = mid
		} else {
			lo = mid
		}
	}
	return hi.Seconds()
}
