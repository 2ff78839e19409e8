// Package lookup decides which instances a lookup response offers to a caller for a
// route. The package is pure: randomness is an argument.
package lookup

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// Instance is an instance that a lookup response may contain.
type Instance struct {
	ID      string
	Address string
	Zone    string
	Region  string
	// Incarnation changes each time the instance starts.
	Incarnation string
	// IDPrefix is the prefix of the ids of requests that are first sent to the
	// instance.
	IDPrefix string
	// Leaving is set when the instance is leaving and accepts no new work. Responses
	// omit it.
	Leaving bool
	// Unreachable is set when no message from the instance's cell was received
	// recently. Responses omit it.
	Unreachable bool
}

// Usable reports whether callers may be sent to the instance.
func (in *Instance) Usable() bool { return !in.Leaving && !in.Unreachable }

// Location is the assumed location of a caller.
type Location struct {
	// Zone is empty when only the region is known. Then all zones of the region
	// count as the caller's.
	Zone   string
	Region string
}

// The order of an instance in a response. Callers prefer lower orders.
const (
	// OrderSameZone marks instances of the caller's zone.
	OrderSameZone = iota
	// OrderSameRegion marks instances of other zones of the caller's region.
	OrderSameRegion
	// OrderOtherRegion marks instances of other regions.
	OrderOtherRegion
)

// MaxPerOrder is the largest number of instances of one order in a response.
const MaxPerOrder = 4

// Weight is the weight of every instance, since all instances have the same size.
const Weight = 100

// minTTLFraction is the shortest time to live of a response as a fraction of the
// route's. The times are jittered so that the responses of different callers do not
// expire at the same time.
const minTTLFraction = 0.7

// FallbackTTL is the longest time to live of a response without instances of the
// caller's region, which usually has some again within seconds.
const FallbackTTL = 500 * time.Millisecond

// LimitTTL returns the time to live of a response of the given scope: at most ttl.
func LimitTTL(ttl time.Duration, scope Scope) time.Duration {
	if scope == ScopeOwnRegion {
		return ttl
	}
	return min(ttl, FallbackTTL)
}

// BuildResponse returns the lookup response for route that names c, of the given scope,
// based on the given version of the tables. rnd shuffles instances of the same order and
// jitters the time to live.
func BuildResponse(version uint64, route *table.Route, c Candidates, scope Scope, rnd *rand.Rand) wire.LookupAnswer {
	byOrder := [...][]Instance{OrderSameZone: c.Zone, OrderSameRegion: c.Region, OrderOtherRegion: c.Others}
	response := wire.LookupAnswer{
		Version:   version,
		Route:     route.Name,
		TTLMS:     LimitTTL(TTL(route, rnd.Float64()), scope).Milliseconds(),
		Instances: []wire.LookupInstance{},
	}
	for order, ins := range byOrder {
		ins = slices.Clone(ins)
		sort.Slice(ins, func(i, j int) bool { return ins[i].ID < ins[j].ID })
		rnd.Shuffle(len(ins), func(i, j int) { ins[i], ins[j] = ins[j], ins[i] })
		for _, in := range ins[:min(len(ins), MaxPerOrder)] {
			response.Instances = append(response.Instances, wire.LookupInstance{
				ID: in.ID, Address: in.Address, Zone: in.Zone, Weight: Weight, Order: order, IDPrefix: in.IDPrefix,
			})
		}
	}
	return response
}

// orderOf returns the order of in for a caller.
func orderOf(caller Location, in Instance) int {
	switch {
	case in.Zone == caller.Zone, caller.Zone == "" && in.Region == caller.Region:
		return OrderSameZone
	case in.Region == caller.Region:
		return OrderSameRegion
	}
	return OrderOtherRegion
}

// TTL returns the time to live of a response for route. jitter is from 0 to 1; the
// result rises with it from minTTLFraction of the route's time to live to all of it.
func TTL(route *table.Route, jitter float64) time.Duration {
	ttl := route.LookupTTL.Std()
	if ttl <= 0 {
		ttl = table.DefaultLookupTTL
	}
	return time.Duration(float64(ttl) * (minTTLFraction + (1-minTTLFraction)*jitter))
}
