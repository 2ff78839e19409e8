// Package split divides the requests of a route among parts, such as the services
// that a new version is moved to step by step. It answers a load in which each part
// must get its share of the requests within some hundred of them, while a target
// works faster on an object that it has handled before: an object stays with its part
// as far as the shares let it, and a change of the weights moves only what it has to.
// The package is pure.
package split

import "sync"

// Backend is one part with its weight, which counts beside those of the others.
type Backend struct {
	Name   string
	Weight int
}

// pull is by how far, as a part of all objects, one request that a part has got
// beyond its share moves the bounds of the parts.
const pull = 0.01

// Splitter divides requests among parts. The zero value has seen none. It may be used
// from several goroutines at once.
type Splitter struct {
	mu    sync.Mutex
	parts []Backend
	// surplus is how many requests each part has got beyond its share.
	surplus []float64
}

// Pick returns the part of a request whose object lies at the point, from 0 up to 1,
// or "" when no part has any weight. Each part owns the points between its bounds;
// a request goes to another part when that lacks requests, the nearest first.
func (d *Splitter) Pick(parts []Backend, point float64) string {
	total := 0
	for _, p := range parts {
		total += p.Weight
	}
	if total == 0 {
		return ""
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow(parts)
	best, cost, from := -1, 0.0, 0.0
	for i, p := range parts {
		share := float64(p.Weight) / float64(total)
		c := distance(point, from, from+share) + pull*d.surplus[i]
		if p.Weight > 0 && (best < 0 || c < cost) {
			best, cost = i, c
		}
		from += share
	}
	for i, p := range parts {
		d.surplus[i] -= float64(p.Weight) / float64(total)
	}
	d.surplus[best]++
	return parts[best].Name
}

// follow begins anew when the parts or their weights have changed.
func (d *Splitter) follow(parts []Backend) {
	same := len(parts) == len(d.parts)
	for i := 0; same && i < len(parts); i++ {
		same = parts[i] == d.parts[i]
	}
	if !same {
		d.parts = append([]Backend(nil), parts...)
		d.surplus = make([]float64, len(parts))
	}
}

// distance returns how far a point lies outside of the interval.
func distance(point, from, to float64) float64 {
	switch {
	case point < from:
		return from - point
	case point >= to:
		return point - to
	}
	return 0
}
