// Package plan says what an edit of the tables changes: the rows, the traffic
// that moves and how long that takes under the shift caps, and the capacity.
// It is pure.
package plan

import (
	"fmt"
	"math"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/shift"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Plan is what an edit changes.
type Plan struct {
	// BaseVersion is the version that the edit changes.
	BaseVersion uint64 `json:"base_version"`
	// Changes are the rows and fields that differ.
	Changes []table.Change `json:"changes"`
	// Moves are the shares of traffic that move between pools.
	Moves []Move `json:"moves"`
	// Capacities are the pools and regions whose capacity changes.
	Capacities []CapacityChange `json:"capacities"`
	// Warnings are accepted but deserve a second look.
	Warnings []string `json:"warnings"`
}

// Move is a part of a route's traffic that goes from one pool to another.
type Move struct {
	Route string `json:"route"`
	// From is empty for traffic that no pool takes at present; To is empty
	// for traffic that no pool will take.
	From string `json:"from"`
	To   string `json:"to"`
	// Share is the fraction of the route's traffic, from 0 to 1.
	Share float64 `json:"share"`
	// Seconds is how long the shift caps make the move last.
	Seconds float64 `json:"seconds"`
}

// CapacityChange is a change of what a pool or region can carry.
type CapacityChange struct {
	// Row is the table and the name of the row.
	Row string `json:"row"`
	// Unit is what Old and New count.
	Unit string `json:"unit"`
	Old  int    `json:"old"`
	New  int    `json:"new"`
}

// String says m in words.
func (m Move) String() string {
	return fmt.Sprintf("route %s: %.1f%% of the traffic moves from %s to %s, within %.1f s",
		m.Route, 100*m.Share, poolOrNone(m.From), poolOrNone(m.To), m.Seconds)
}

// String says c in words.
func (c CapacityChange) String() string {
	return fmt.Sprintf("%s: %s %d -> %d (%+d)", c.Row, c.Unit, c.Old, c.New, c.New-c.Old)
}

func poolOrNone(name string) string {
	if name == "" {
		return "no pool"
	}
	return "pool " + name
}

// Compute returns what the edit next changes of current when accepted at now.
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
			p.Moves = append(p.Moves, movesOf(after, &after.Routes[i])...)
		}
	}
	p.Capacities = capacities(old, after)
	p.Warnings = warnings(old, after)
	return p
}

// Empty reports whether the edit changes nothing.
func (p Plan) Empty() bool { return len(p.Changes) == 0 }

const (
	// longestRamp is beyond any ramp that the tables can express in practice.
	longestRamp = 365 * 24 * time.Hour
	// negligible is a share too small to report.
	negligible = 1e-6
)

// movesOf matches the pools of r that lose share with those that gain it.
func movesOf(t *table.Tables, r *table.Route) []Move {
	var losing, gaining []part
	sum := 0.0
	final := shift.PlannedShares(t, r, t.AcceptedAt.Add(longestRamp))
	for _, end := range final {
		d := end.Share - startOf(t, r, end.Pool)
		sum += d
		switch {
		case d > negligible:
			gaining = append(gaining, part{end.Pool, d})
		case d < -negligible:
			losing = append(losing, part{end.Pool, -d})
		}
	}
	if sum > negligible {
		losing = append(losing, part{"", sum})
	}
	if sum < -negligible {
		gaining = append(gaining, part{"", -sum})
	}
	var moves []Move
	for len(losing) > 0 && len(gaining) > 0 {
		from, to := &losing[0], &gaining[0]
		share := math.Min(from.share, to.share)
		moves = append(moves, Move{Route: r.Name, From: from.pool, To: to.pool, Share: share, Seconds: rampSeconds(t, r, to.pool)})
		from.share -= share
		to.share -= share
		losing, gaining = dropEmpty(losing), dropEmpty(gaining)
	}
	return moves
}

// part is what one pool loses or gains.
type part struct {
	pool  string
	share float64
}

// dropEmpty removes the first part once it is used up.
func dropEmpty(ps []part) []part {
	if ps[0].share <= negligible {
		return ps[1:]
	}
	return ps
}

// startOf returns the share of a pool at acceptance.
func startOf(t *table.Tables, r *table.Route, pool string) float64 {
	known := false
	for _, s := range t.Shifts {
		if s.Route != r.Name {
			continue
		}
		known = true
		if s.Pool == pool {
			return s.Share
		}
	}
	if known {
		return 0
	}
	return shareAt(t, r, pool, t.AcceptedAt)
}

// shareAt returns the share of a pool at a time.
func shareAt(t *table.Tables, r *table.Route, pool string, at time.Time) float64 {
	for _, s := range shift.PlannedShares(t, r, at) {
		if s.Pool == pool {
			return s.Share
		}
	}
	return 0
}

// rampSeconds finds by bisection when the pool has its final share.
func rampSeconds(t *table.Tables, r *table.Route, pool string) float64 {
	if pool == "" {
		return 0
	}
	final := shareAt(t, r, pool, t.AcceptedAt.Add(longestRamp))
	done := func(d time.Duration) bool {
		return shareAt(t, r, pool, t.AcceptedAt.Add(d)) >= final-negligible
	}
	hi := time.Second
	for !done(hi) && hi < longestRamp {
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
