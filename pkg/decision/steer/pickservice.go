package steer

import (
	"math"

	"github.com/jacinthramp/jacinthramp/pkg/decision/hashing"
	"github.com/jacinthramp/jacinthramp/pkg/decision/split"
)

// pickService returns the service for r by the weights of the route's pools.
// The weights of a service's pools are equal.
func (rt *route) pickService(snap *snapshot, r *Request) string {
	var buf [inlineBackends]split.Backend
	backends := snap.appendBackends(buf[:0], r)
	if len(backends) == 1 {
		return backends[0].Name
	}
	if r.usesAffinity() {
		return rt.splitter.Pick(backends, r.splitPoint(0))
	}
	return rt.splitter.Pick(backends, r.splitPoint(rt.arrivals.Add(1)))
}

// peekService returns what pickService would return, without counting r.
func (rt *route) peekService(snap *snapshot, r *Request) string {
	backends := snap.appendBackends(nil, r)
	if len(backends) == 1 {
		return backends[0].Name
	}
	return rt.splitter.Peek(backends, r.splitPoint(rt.arrivals.Load()+1))
}

// splitPoint returns the point of r among the services of its route; see split.Splitter.
// Without an object it follows from the number of r among the arrivals.
func (r *Request) splitPoint(arrivals int64) float64 {
	if r.usesAffinity() {
		return hashing.Uniform(hashing.Name(r.Route.Name), r.ObjectKey)
	}
	_, point := math.Modf(float64(arrivals) * goldenRatio)
	return point
}

// appendBackends appends the services of r's route to backends.
func (snap *snapshot) appendBackends(backends []split.Backend, r *Request) []split.Backend {
	for _, w := range r.Route.Pools {
		s := snap.serviceOf(w.Pool)
		if s != "" && (len(backends) == 0 || backends[len(backends)-1].Name != s) {
			backends = append(backends, split.Backend{Name: s, Weight: w.Weight})
		}
	}
	return backends
}

// inlineBackends is the number of services up to which pickService does not
// allocate.
const inlineBackends = 4

// serviceOf returns the service of the named pool, or "".
func (snap *snapshot) serviceOf(name string) string {
	if p, ok := snap.pools[name]; ok {
		return p.row.Service
	}
	return ""
}
