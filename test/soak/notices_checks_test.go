package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/platform/standin"
)

// at returns the time ms milliseconds after the start of a made-up run.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// madeUp is a made-up run, in which times are in milliseconds.
type madeUp struct {
	exchanges []standin.Exchange
	requests  map[string]request
	faults    []disturbance
}

// leavingRun returns a run in which i-0 is leaving in a response that front-0 has
// passed on at 0, and a request that a caller sends at sent then reaches i-0.
func leavingRun(sent int) *madeUp {
	return &madeUp{
		exchanges: []standin.Exchange{
			{Server: "i-0", ID: "a.front-0", Arrived: at(-20), Answered: at(-5), Leaving: true},
			{Server: "i-0", ID: "b.front-0", Arrived: at(sent + 10), Answered: at(sent + 30), Leaving: true},
		},
		requests: map[string]request{
			"a.front-0": {sent: at(-30), passedOn: at(0), server: "i-0"},
			"b.front-0": {sent: at(sent)},
		},
	}
}

// backoffRun returns a run in which i-0 answers front-0 at 0 with a Retry-After of
// 2 s, after which requests arrive at the given times.
func backoffRun(arrivals ...int) *madeUp {
	m := &madeUp{exchanges: []standin.Exchange{
		{Server: "i-0", ID: "a.front-0", Arrived: at(-5), Answered: at(0), RetryAfter: "2"},
	}}
	for i, ms := range arrivals {
		m.exchanges = append(m.exchanges, standin.Exchange{Server: "i-0", ID: fmt.Sprintf("%d.front-0", i), Arrived: at(ms), Answered: at(ms)})
	}
	return m
}

func (m *madeUp) withFault(name string, c cause, from, to int) *madeUp {
	m.faults = append(m.faults, disturbance{name, c, at(from), at(to)})
	return m
}

// with applies edit to the run.
func (m *madeUp) with(edit func(*madeUp)) *madeUp {
	edit(m)
	return m
}

func (m *madeUp) history() history { return newHistory(m.exchanges, m.requests, m.faults) }

const drainMS = int(drainDelay / time.Millisecond)

func TestCheckFindsRequestsToLeavingServers(t *testing.T) {
	for name, c := range map[string]struct {
		run    *madeUp
		caught bool
	}{
		"late":                        {leavingRun(drainMS + 1), true},
		"within the bound":            {leavingRun(drainMS), false},
		"frozen since":                {leavingRun(drainMS+1).withFault("front-0", freeze, 100, 200), false},
		"restarted since":             {leavingRun(drainMS+1).withFault("front-0", restart, 100, 200), false},
		"frozen right before arrival": {leavingRun(drainMS+1).withFault("front-0", freeze, drainMS+5, drainMS+8), false},
		"restarted before the notice": {leavingRun(drainMS+1).withFault("front-0", restart, -200, -100), true},
		"restarted after the arrival": {leavingRun(drainMS+1).withFault("front-0", restart, drainMS+20, drainMS+900), true},
		"another instance restarted":  {leavingRun(drainMS+1).withFault("front-1", restart, 100, 200), true},
		"connections were cut":        {leavingRun(drainMS+1).withFault("i-0", cut, 100, 200), true},
		"not leaving":                 {leavingRun(drainMS + 1).with(func(m *madeUp) { m.exchanges[0].Leaving = false }), false},
		"response not passed on":      {leavingRun(drainMS + 1).with(func(m *madeUp) { m.requests["a.front-0"] = request{sent: at(-30)} }), false},
		"another server's response":   {leavingRun(drainMS + 1).with(func(m *madeUp) { m.requests["a.front-0"] = request{at(-30), at(0), "i-1"} }), false},
		"from another instance":       {leavingRun(drainMS + 1).with(func(m *madeUp) { m.exchanges[0].ID = "a.front-1" }), false},
		"to another server":           {leavingRun(drainMS + 1).with(func(m *madeUp) { m.exchanges[1].Server = "i-1" }), false},
	} {
		if got := c.run.history().requestsToLeaving(); (len(got) == 1) != c.caught || len(got) > 1 {
			t.Errorf("%s: %q", name, got)
		}
	}
}

// TestLeavingNoticeAfterARestartCountsAgain checks that a restart excuses an
// instance only until it has passed on another response of the leaving server.
func TestLeavingNoticeAfterARestartCountsAgain(t *testing.T) {
	m := leavingRun(2*drainMS).withFault("front-0", restart, 100, 200)
	m.exchanges = append(m.exchanges, standin.Exchange{Server: "i-0", ID: "c.front-0", Arrived: at(300), Answered: at(310), Leaving: true})
	m.requests["c.front-0"] = request{sent: at(290), passedOn: at(320), server: "i-0"}
	if got := m.history().requestsToLeaving(); len(got) != 1 {
		t.Fatalf("%q", got)
	}
}

func TestCheckFindsRequestsDuringBackoff(t *testing.T) {
	for name, c := range map[string]struct {
		run    *madeUp
		caught bool
	}{
		"three":                        {backoffRun(600, 700, 1999), true},
		"two":                          {backoffRun(600, 700), false},
		"at the borders":               {backoffRun(500, 501, 1999), true},
		"right after the answer":       {backoffRun(1, 2, 3, 499), false},
		"after the end":                {backoffRun(2000, 2001, 2002), false},
		"restarted since":              {backoffRun(600, 700, 800).withFault("front-0", restart, 100, 550), false},
		"frozen since":                 {backoffRun(600, 700, 800).withFault("front-0", freeze, 100, 550), false},
		"restarted after the second":   {backoffRun(600, 700, 800).withFault("front-0", restart, 750, 790), false},
		"restarted after the third":    {backoffRun(600, 700, 800).withFault("front-0", restart, 801, 900), true},
		"restarted before":             {backoffRun(600, 700, 800).withFault("front-0", restart, -300, -100), true},
		"another instance restarted":   {backoffRun(600, 700, 800).withFault("front-1", restart, 100, 200), true},
		"cut while the answer travels": {backoffRun(600, 700, 800).withFault("i-0", cut, 100, 300), false},
		"cut later":                    {backoffRun(600, 700, 800).withFault("i-0", cut, 501, 900), true},
		"cut of another server":        {backoffRun(600, 700, 800).withFault("i-1", cut, 100, 300), true},
		"no Retry-After":               {backoffRun(600, 700, 800).with(func(m *madeUp) { m.exchanges[0].RetryAfter = "" }), false},
		"fraction":                     {backoffRun(600, 700, 800).with(func(m *madeUp) { m.exchanges[0].RetryAfter = "0.75" }), false},
		"from another instance":        {backoffRun(600, 700, 800).with(func(m *madeUp) { m.exchanges[0].ID = "a.front-1" }), false},
		"to another server":            {backoffRun(600, 700, 800).with(func(m *madeUp) { m.exchanges[0].Server = "i-1" }), false},
	} {
		if got := c.run.history().requestsDuringBackoff(); (len(got) == 1) != c.caught || len(got) > 1 {
			t.Errorf("%s: %q", name, got)
		}
	}
}
