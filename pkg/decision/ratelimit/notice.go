// Package ratelimit shares the rate limit that a target has announced among the
// instances, so that all of them together stay within it.
package ratelimit

import (
	"math"
	"strconv"
)

// State states what a response of a target says about the target's rate limit.
type State uint8

// The states.
const (
	// Unknown: nothing, because the response is malformed or not the target's.
	Unknown State = iota
	// Unlimited: the target has no limit.
	Unlimited
	// Limited: the target has the limit Notice.PerSecond.
	Limited
)

// Notice is what a response of a target says about the number of requests that the
// target accepts from all instances together.
type Notice struct {
	State State
	// PerSecond is the limit in requests per second. It is zero or more with Limited
	// and zero otherwise.
	PerSecond float64
}

// MaxPerSecond caps the limit of a notice. A limit this high limits nothing.
const MaxPerSecond = 1e6

// Parse returns the notice in the header field value text, which is empty if the
// response has no such field. It reports false for anything but a decimal number of
// zero or more.
func Parse(text string) (n Notice, ok bool) {
	if text == "" {
		return Notice{State: Unlimited}, true
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return Notice{}, false
	}
	return Notice{State: Limited, PerSecond: min(perSecond, MaxPerSecond)}, true
}
