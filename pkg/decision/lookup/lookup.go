// Package lookup decides which instances a caller may use for a route. It is
// pure: the randomness is an argument.
package lookup

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// Instance is an instance that may be named in an answer.
type Instance struct {
	ID      string
	Address string
	Zone    string
	Region  string
	// Incarnation changes each time the instance starts.
	Incarnation string
	// IDPrefix starts the ids of requests first sent to the instance.
	IDPrefix string
	// Leaving instances are left out, and so are Silent ones, of whose cell
	// nothing was heard lately.
	Leaving     bool
	Unreachable bool
}

// Usable reports whether callers may be sent to the instance.
func (in *Instance) Usable() bool { return !in.Leaving && !in.Unreachable }

// Location is where the caller is taken to be.
type Location struct {
	// Zone is empty when only the region is known: its zones are then equal.
	Zone   string
	Region string
}

// The orders of an answer's instances.
const (
	// OrderSameZone holds instances of the caller's zone.
	OrderSameZone = iota
	// OrderSameRegion holds instances of other zones of the caller's region.
	OrderSameRegion
	// OrderOtherRegion holds instances of other regions.
	OrderOtherRegion
)

// MaxPerOrder bounds the instances of one order in an answer.
const MaxPerOrder = 4

// Weight is the weight of an instance; all instances are of one size.
const Weight = 100

// minTTLFraction is the shortest time to live as a fraction of the route's.
// Times are spread so that callers' answers don't expire together.
const minTTLFraction = 0.7

// BuildAnswer returns the answer for route, made from version. The order of equal
// instances and the time to live are spread by rnd.
func BuildAnswer(version uint64, route *table.Route, at Location, all []Instance, rnd *rand.Rand) wire.LookupAnswer {
	byOrder := [OrderOtherRegion + 1][]Instance{}
	for _, in := range all {
		if !in.Usable() {
			continue
		}
		o := orderOf(at, in)
		byOrder[o] = append(byOrder[o], in)
	}
	a := wire.LookupAnswer{
		Version:   version,
		Route:     route.Name,
		TTLMS:     TTL(route, rnd.Float64()).Milliseconds(),
		Instances: []wire.LookupInstance{},
	}
	for order, ins := range byOrder {
		sort.Slice(ins, func(i, j int) bool { return ins[i].ID < ins[j].ID })
		rnd.Shuffle(len(ins), func(i, j int) { ins[i], ins[j] = ins[j], ins[i] })
		for _, in := range ins[:min(len(ins), MaxPerOrder)] {
			a.Instances = append(a.Instances, wire.LookupInstance{
				ID: in.ID, Address: in.Address, Zone: in.Zone, Weight: Weight, Order: order, IDPrefix: in.IDPrefix,
			})
		}
	}
	return a
}

func orderOf(at Location, in Instance) int {
	switch {
	case in.Zone == at.Zone, at.Zone == "" && in.Region == at.Region:
		return OrderSameZone
	case in.Region == at.Region:
		return OrderSameRegion
	}
	return OrderOtherRegion
}

// TTL returns the time to live for spread, a number from 0 up to 1. It never
// exceeds the route's.
func TTL(route *table.Route, spread float64) time.Duration {
	ttl := route.LookupTTL.Std()
	if ttl <= 0 {
		ttl = table.DefaultLookupTTL
	}
	return time.Duration(float64(ttl) * (minTTLFraction + (1-minTTLFraction)*spread))
}
