// Package split divides the requests of a route among weighted backends, such as the
// services of an old and a new version during a gradual rollout. It is made for loads
// in which each backend must get its share within a few hundred requests, while a
// target is faster on objects that it has handled before. An object therefore stays on
// its backend as far as the shares allow, and a change of the weights moves only as
// many objects as necessary. The package is pure.
package split

import (
	"slices"
	"sync"
)

// Backend is one of the services that requests are divided among. Its share is its
// weight divided by the sum of all weights.
type Backend struct {
	Name   string
	Weight int
}

// surplusPenalty is how far one request that a backend has received beyond its share
// moves the boundaries between backends, as a fraction of the range of points.
const surplusPenalty = 0.01

// Splitter divides requests among backends. The zero value is ready to use. A Splitter
// is safe for concurrent use.
type Splitter struct {
	mu       sync.Mutex
	backends []Backend
	// surplus is the number of requests that each backend has received beyond its
	// share. It is negative for a backend that has received fewer.
	surplus []float64
}

// Pick returns the name of the backend for a request, or "" when no backend has a
// weight. point is the position of the request's object, from 0 up to 1. Each backend
// owns an interval of points. A request goes to another backend than the owner of its
// point when that one has received too few requests; nearer intervals are preferred.
func (s *Splitter) Pick(backends []Backend, point float64) string {
	total := totalWeight(backends)
	if total == 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetOnChange(backends)
	best := cheapest(backends, s.surplus, total, point)
	for i, b := range backends {
		s.surplus[i] -= float64(b.Weight) / float64(total)
	}
	s.surplus[best]++
	return backends[best].Name
}

// Peek returns what Pick would return, without counting a request.
func (s *Splitter) Peek(backends []Backend, point float64) string {
	total := totalWeight(backends)
	if total == 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	surplus := s.surplus
	if !slices.Equal(backends, s.backends) {
		surplus = make([]float64, len(backends))
	}
	return backends[cheapest(backends, surplus, total, point)].Name
}

// totalWeight returns the sum of the weights.
func totalWeight(backends []Backend) int {
	total := 0
	for _, b := range backends {
		total += b.Weight
	}
	return total
}

// cheapest returns the index of the backend for a request with the point, as described at Pick.
func cheapest(backends []Backend, surplus []float64, total int, point float64) int {
	best, bestCost, lower := -1, 0.0, 0.0
	for i, b := range backends {
		share := float64(b.Weight) / float64(total)
		cost := distance(point, lower, lower+share) + surplusPenalty*surplus[i]
		if b.Weight > 0 && (best < 0 || cost < bestCost) {
			best, bestCost = i, cost
		}
		lower += share
	}
	return best
}

// resetOnChange clears the surpluses when the backends or their weights have changed.
func (s *Splitter) resetOnChange(backends []Backend) {
	if !slices.Equal(backends, s.backends) {
		s.backends = append([]Backend(nil), backends...)
		s.surplus = make([]float64, len(backends))
	}
}

// distance returns how far point lies outside the interval [lower, upper).
func distance(point, lower, upper float64) float64 {
	switch {
	case point < lower:
		return lower - point
	case point >= upper:
		return point - upper
	}
	return 0
}
