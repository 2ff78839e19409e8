// Package popularity estimates how often each object of a route is asked for, and how many
// targets that calls for. It is pure. A Tracker is not safe for concurrent use.
package popularity

import (
	"math"
	"time"
)

const (
	// halfLife is the time after which a request counts half.
	halfLife = 4 * time.Second
	// minCount is the count below which an object is forgotten.
	minCount = 0.2
	// maxObjects bounds the objects that are counted. Further ones count as usual ones.
	maxObjects = 2048
	// popularRatio is the share of the requests from which an object is popular, as a multiple
	// of the mean. What all objects are asked for varies with the time of day: if they all
	// gained and lost targets with it, targets would learn them over and over.
	popularRatio = 4
)

// Tracker counts the requests of one instance about the objects of a route. The zero value
// is empty.
type Tracker struct {
	counts map[uint64]float64
	total  float64
	// since is the time of the last halving in nanoseconds, arrived the number of requests
	// since then, and perSecond the smoothed rate of the time before.
	since     int64
	arrived   float64
	perSecond float64
}

// Observe counts a request about an object at now, in nanoseconds.
func (t *Tracker) Observe(now int64, object uint64) {
	if t.counts == nil {
		t.counts, t.since = make(map[uint64]float64), now
	}
	t.advance(now)
	t.arrived++
	t.total++
	if _, known := t.counts[object]; known || len(t.counts) < maxObjects {
		t.counts[object]++
	}
}

// advance halves the counts once for each halfLife since the last time.
func (t *Tracker) advance(now int64) {
	elapsed := time.Duration(now - t.since)
	if elapsed < halfLife {
		return
	}
	remaining := math.Exp2(-float64(elapsed / halfLife))
	t.perSecond = remaining*t.perSecond + (1-remaining)*t.arrived/elapsed.Seconds()
	t.since, t.arrived, t.total = now, 0, 0
	for object, n := range t.counts {
		if n *= remaining; n < minCount {
			delete(t.counts, object)
			continue
		}
		t.counts[object] = n
		t.total += n
	}
}

// PerSecond estimates the rate of the instance's requests about an object, and returns zero
// for one that is not popular. An object that has rarely been seen counts like the others:
// few requests say little about one of many.
func (t *Tracker) PerSecond(object uint64) float64 {
	if len(t.counts) == 0 {
		return 0
	}
	const prior = 1
	share := (t.counts[object] + prior) / (t.total + prior*float64(len(t.counts)))
	if share*float64(len(t.counts)) < popularRatio {
		return 0
	}
	return share * t.perSecond
}

// Len returns the number of objects that are counted.
func (t *Tracker) Len() int { return len(t.counts) }

const (
	// MaxTargets is the largest number of targets of an object.
	MaxTargets = 4
	// fullPart is the part of the slots of a target that one object may keep busy before it
	// gets another target. The rest is for the target's other objects.
	fullPart = 0.35
)

// Targets returns how many targets an object calls for, in coarse steps: one, two or
// MaxTargets. perSecond is the rate of its requests at all instances that send them to the
// same targets, work how long each takes, and slots the number of slots of a target.
func Targets(perSecond float64, work time.Duration, slots float64) int {
	switch busy := perSecond * work.Seconds() / (fullPart * slots); {
	case busy <= 1:
		return 1
	case busy <= 2:
		return 2
	}
	return MaxTargets
}
