package steer

import (
	"net/http"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// withdrawn returns how many of all must not be sent under the tables in force.
func withdrawn(c *Core, all []placed) int {
	n := 0
	for _, p := range all {
		if c.MustNotSend(at(2100*time.Millisecond), p.Request, &p.d) {
			n++
		}
	}
	return n
}

// A request that was placed under older tables must not be sent where only these allow.
func TestPlacedRequestIsNotSentWhereOnlyOlderTablesAllow(t *testing.T) {
	for name, next := range map[string]*table.Tables{
		"another region":  inRegion(2, "stajerska"),
		"another service": withSecondService(2, func(row *table.Route) { useService(row, "second") }),
		"no route":        boundFleet.version(2, func(row *table.Route) { row.PathPrefix = "/other" }),
		"another host":    boundFleet.version(2, func(row *table.Route) { row.Host = "other.example" }),
	} {
		v1 := inRegion(1, "osrednja")
		c := boundCore(v1)
		all := placeAll(t, c, v1)
		if n := withdrawn(c, all); n != 0 {
			t.Errorf("%s: %d of %d requests are withdrawn before the change", name, n, objects)
		}
		c.SetTables(at(2*time.Second), next)
		if n := withdrawn(c, all); n != objects {
			t.Errorf("%s: %d of %d requests are sent", name, objects-n, objects)
		}
	}
}

func TestPlacedRequestIsSentWhenNewTablesAllowIt(t *testing.T) {
	v1 := inRegion(1, "osrednja")
	c := boundCore(v1)
	all := placeAll(t, c, v1)
	c.SetTables(at(2*time.Second), boundFleet.version(2, func(row *table.Route) {
		row.Regions = []string{"stajerska", "osrednja"}
		row.Timeout = table.Duration(time.Second)
	}))
	if n := withdrawn(c, all); n != 0 {
		t.Errorf("%d of %d requests are withdrawn", n, objects)
	}
}

// withdrawAll withdraws the attempts of all and returns the decisions on the next ones, a
// refusal for each that is not allowed.
func withdrawAll(c *Core, all []placed) []Decision {
	now := at(2100 * time.Millisecond)
	var next []Decision
	for _, p := range all {
		res := Result{Kind: fault.KindTargetLeaving}
		c.Done(now, p.d, res)
		if c.AllowRetry(now, p.Request, res) {
			next = append(next, c.Decide(now, p.Request))
		} else {
			next = append(next, Decision{})
		}
	}
	return next
}

func TestWithdrawnRequestGoesWhereTheNewTablesAllow(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		v1 := inRegion(1, "osrednja")
		c := boundCore(v1)
		all := placeAll(t, c, v1)
		for _, p := range all {
			p.Idempotent = idempotent
		}
		c.SetTables(at(2*time.Second), inRegion(2, "stajerska"))
		for _, d := range withdrawAll(c, all) {
			if d.Verdict != Dispatch || d.Region() != "stajerska" {
				t.Errorf("idempotent %v: verdict %d, region %q", idempotent, d.Verdict, d.Region())
			}
		}
	}
}

// second attempts that were placed before the tables changed.
func secondPlaced(t *testing.T, c *Core, v1 *table.Tables, second func(*Core, []placed) []Decision) []placed {
	t.Helper()
	all := placeAll(t, c, v1)
	for _, p := range all {
		p.Method = http.MethodPost
	}
	for i, d := range second(c, all) {
		all[i].d = mustDispatch(t, d)
		all[i].Attempts++
	}
	return all
}

func TestSecondAttemptIsNotSentOnceTheTablesForbidIt(t *testing.T) {
	for change, next := range map[string]*table.Tables{
		"fewer attempts": boundFleet.version(2, func(row *table.Route) { row.MaxAttempts = 1 }),
		"not idempotent": boundFleet.version(2, func(row *table.Route) { row.Idempotency = table.IdempotentNever }),
	} {
		for name, second := range secondAttempts {
			v1 := boundFleet.version(1, func(*table.Route) {})
			c := boundCore(v1)
			all := secondPlaced(t, c, v1, second)
			c.SetTables(at(3500*time.Millisecond), next)
			if n := withdrawn(c, all); n != objects {
				t.Errorf("%s: %s: %d of %d are sent", change, name, objects-n, objects)
			}
		}
	}
}

// The first attempt may be sent whatever the tables say about repeats.
func TestFirstAttemptIsSentWhenTheTablesForbidFurtherOnes(t *testing.T) {
	v1 := boundFleet.version(1, func(*table.Route) {})
	c := boundCore(v1)
	all := placeAll(t, c, v1)
	for _, p := range all {
		p.Method = http.MethodPost
	}
	c.SetTables(at(2*time.Second), boundFleet.version(2, func(row *table.Route) {
		row.MaxAttempts, row.Idempotency = 1, table.IdempotentNever
	}))
	if n := withdrawn(c, all); n != 0 {
		t.Errorf("%d of %d requests are withdrawn", n, objects)
	}
}

// An attempt that was withdrawn reached no target, so it is none of those that are allowed.
func TestWithdrawnAttemptIsNotCounted(t *testing.T) {
	one := func(n uint64, region string) *table.Tables {
		return boundFleet.version(n, func(row *table.Route) { row.Regions, row.MaxAttempts = []string{region}, 1 })
	}
	v1 := one(1, "osrednja")
	c := boundCore(v1)
	all := placeAll(t, c, v1)
	c.SetTables(at(2*time.Second), one(2, "stajerska"))
	refused := 0
	for i, d := range withdrawAll(c, all) {
		if d.Verdict != Dispatch {
			refused++
			continue
		}
		all[i].Attempts++
		if c.MustNotSend(at(2200*time.Millisecond), all[i].Request, &d) {
			t.Error("the next attempt is withdrawn too")
		}
		if c.AllowRetry(at(2300*time.Millisecond), all[i].Request, Result{Kind: fault.KindTargetLost}) {
			t.Error("a further attempt is allowed after one that was sent")
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d requests that were never sent get no other target", refused, objects)
	}
}

// Attempts that are withdrawn without end must come to one.
func TestRequestWhoseAttemptsAreAllWithdrawnEnds(t *testing.T) {
	v1 := boundFleet.version(1, func(*table.Route) {})
	c := boundCore(v1)
	p := placeAll(t, c, v1)[0]
	for range 2 * maxWithdrawn {
		if !c.AllowRetry(at(time.Second), p.Request, Result{Kind: fault.KindTargetLeaving}) {
			return
		}
		p.Attempts++
	}
	t.Errorf("a further attempt is allowed after %d that were withdrawn", p.Attempts)
}

// A withdrawn hedge must not be followed by another attempt while the first one may run, if
// the route has become one of requests that may run only once.
func TestWithdrawnHedgeOfRequestThatIsNoLongerIdempotentIsTheLastAttempt(t *testing.T) {
	v1 := boundFleet.version(1, func(*table.Route) {})
	c := boundCore(v1)
	all := secondPlaced(t, c, v1, hedges)
	c.SetTables(at(3*time.Second), boundFleet.version(2, func(row *table.Route) { row.Idempotency = table.IdempotentNever }))
	repeated := 0
	for _, d := range withdrawAll(c, all) {
		if d.Verdict == Dispatch {
			repeated++
		}
	}
	if repeated > 0 {
		t.Errorf("%d of %d requests are sent again", repeated, objects)
	}
}
