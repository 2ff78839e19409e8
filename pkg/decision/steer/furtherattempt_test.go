package steer

import (
	"net/http"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// withSecondService returns the tables of boundFleet with another service that the first
// route does not use.
func withSecondService(n uint64, change func(row *table.Route)) *table.Tables {
	t := boundFleet.version(n, func(*table.Route) {})
	for _, region := range regionNames {
		p := *t.Pool("feedlog." + region)
		p.Name, p.Service = "second."+region, "second"
		p.Targets = append([]table.Target(nil), p.Targets...)
		for i := range p.Targets {
			p.Targets[i].Name += "-second"
		}
		t.Pools = append(t.Pools, p)
	}
	change(&t.Routes[0])
	return t
}

// useService makes row send its requests to the named service.
func useService(row *table.Route, service string) {
	row.Pools = nil
	for _, region := range regionNames {
		row.Pools = append(row.Pools, table.PoolWeight{Pool: service + "." + region, Weight: 1})
	}
}

// furtherAttempts loses the first attempts of all at 3.4 s and returns the decisions on the
// further ones, a refusal for each that is not allowed.
func furtherAttempts(c *Core, all []placed) []Decision {
	now := at(3400 * time.Millisecond)
	var next []Decision
	for _, p := range all {
		c.Done(now, p.d, Result{Kind: fault.KindTargetLost})
		if c.AllowRetry(now, p.Request, Result{Kind: fault.KindTargetLost}) {
			next = append(next, c.Decide(now, p.Request))
		} else {
			next = append(next, Decision{})
		}
	}
	return next
}

// hedges returns the decisions on a hedge of each of all, whose first attempts go on.
func hedges(c *Core, all []placed) []Decision {
	now := at(2100 * time.Millisecond)
	var next []Decision
	for _, p := range all {
		if c.AllowHedge(now, p.Request) {
			next = append(next, c.Decide(now, p.Request))
		} else {
			next = append(next, Decision{})
		}
	}
	return next
}

// secondAttempts are the ways in which a request gets a second attempt.
var secondAttempts = map[string]func(*Core, []placed) []Decision{"further attempt": furtherAttempts, "hedge": hedges}

// A request that has arrived under older tables must not go where only these allow.
func TestSecondAttemptStaysInTheRegionsOfTheNewTables(t *testing.T) {
	for name, second := range secondAttempts {
		v1 := inRegion(1, "osrednja")
		c := boundCore(v1)
		all := placeAll(t, c, v1)
		c.SetTables(at(2*time.Second), inRegion(2, "stajerska"))
		outside, sent := 0, 0
		for _, d := range second(c, all) {
			if d.Verdict == Dispatch {
				sent++
			}
			if d.Verdict == Dispatch && d.Region() != "stajerska" {
				outside++
			}
		}
		if outside > 0 || sent < objects {
			t.Errorf("%s: %d of %d requests were sent, %d of them outside the allowed region", name, sent, objects, outside)
		}
	}
}

func TestRequestThatGainsAllowedRegionsGoesThere(t *testing.T) {
	for name, second := range secondAttempts {
		v1 := boundFleet.version(1, func(*table.Route) {})
		c := boundCore(v1)
		all := placeAll(t, c, v1)
		c.SetTables(at(2*time.Second), inRegion(2, "primorska"))
		for _, d := range second(c, all) {
			if d.Verdict != Dispatch || d.Region() != "primorska" {
				t.Errorf("%s: verdict %d, region %q", name, d.Verdict, d.Region())
			}
		}
	}
}

func TestSecondAttemptGoesToTheServiceThatTheRouteHasMovedTo(t *testing.T) {
	for name, second := range secondAttempts {
		v1 := withSecondService(1, func(*table.Route) {})
		c := boundCore(v1)
		all := placeAll(t, c, v1)
		c.SetTables(at(2*time.Second), withSecondService(2, func(row *table.Route) { useService(row, "second") }))
		for i, d := range second(c, all) {
			if d.Verdict != Dispatch || all[i].service != "second" || c.Tables().Pool(d.Pool).Service != "second" {
				t.Errorf("%s: verdict %d, pool %q", name, d.Verdict, d.Pool)
			}
		}
	}
}

// A service whose weight has become 0 gets no requests, as if the route had left it.
func TestSecondAttemptAvoidsServiceWithoutWeight(t *testing.T) {
	for name, second := range secondAttempts {
		both := func(weight int) func(row *table.Route) {
			return func(row *table.Route) {
				for _, region := range regionNames {
					row.Pools = append(row.Pools, table.PoolWeight{Pool: "second." + region, Weight: 1})
				}
				for i := range regionNames {
					row.Pools[i].Weight = weight
				}
			}
		}
		v1 := withSecondService(1, both(1))
		c := boundCore(v1)
		all := placeAll(t, c, v1)
		c.SetTables(at(2*time.Second), withSecondService(2, both(0)))
		for _, d := range second(c, all) {
			if d.Verdict != Dispatch || c.Tables().Pool(d.Pool).Service != "second" {
				t.Errorf("%s: verdict %d, pool %q", name, d.Verdict, d.Pool)
			}
		}
	}
}

func TestSecondAttemptKeepsItsServiceWhileTheRouteHasIt(t *testing.T) {
	both := func(weight int) func(row *table.Route) {
		return func(row *table.Route) {
			for _, region := range regionNames {
				row.Pools = append(row.Pools, table.PoolWeight{Pool: "second." + region, Weight: weight})
			}
		}
	}
	for name, second := range secondAttempts {
		v1 := withSecondService(1, both(1))
		c := boundCore(v1)
		all := placeAll(t, c, v1)
		var services []string
		for _, p := range all {
			services = append(services, p.service)
		}
		c.SetTables(at(2*time.Second), withSecondService(2, both(9)))
		for i, d := range second(c, all) {
			if got := c.Tables().Pool(d.Pool); got == nil || got.Service != services[i] {
				t.Errorf("%s: pool %q after service %s", name, d.Pool, services[i])
			}
		}
	}
}

func TestRequestOfRemovedRouteGetsNoSecondAttempt(t *testing.T) {
	for name, second := range secondAttempts {
		v1 := boundFleet.version(1, func(*table.Route) {})
		c := boundCore(v1)
		all := placeAll(t, c, v1)
		c.SetTables(at(2*time.Second), boundFleet.version(2, func(row *table.Route) { row.PathPrefix = "/other" }))
		for i, d := range second(c, all) {
			if d.Verdict != Refuse {
				t.Errorf("%s: verdict %d, pool %q", name, d.Verdict, d.Pool)
			}
			if d := c.Decide(at(4*time.Second), all[i].Request); d.Verdict != Refuse || d.Kind != fault.KindNoTarget {
				t.Errorf("%s: verdict %d, kind %v", name, d.Verdict, d.Kind)
			}
		}
	}
}

// A request belongs to the route that its path matches now, not to the one of the same name.
func TestSecondAttemptBelongsToTheRouteThatMatchesNow(t *testing.T) {
	for name, second := range secondAttempts {
		v1 := withSecondService(1, func(*table.Route) {})
		c := boundCore(v1)
		all := placeAll(t, c, v1)
		v2 := withSecondService(2, func(*table.Route) {})
		longer := v2.Routes[0]
		longer.Name, longer.PathPrefix = "longer", "/read"
		useService(&longer, "second")
		v2.Routes = append(v2.Routes, longer)
		c.SetTables(at(2*time.Second), v2)
		for i, d := range second(c, all) {
			if d.Verdict != Dispatch || all[i].Route.Name != "longer" || c.Tables().Pool(d.Pool).Service != "second" {
				t.Errorf("%s: verdict %d, route %s, pool %q", name, d.Verdict, all[i].Route.Name, d.Pool)
			}
		}
	}
}

func TestLoweredMaxAttemptsHoldsForRequestsInProgress(t *testing.T) {
	for name, second := range secondAttempts {
		v1 := boundFleet.version(1, func(*table.Route) {})
		c := boundCore(v1)
		all := placeAll(t, c, v1)
		c.SetTables(at(2*time.Second), boundFleet.version(2, func(row *table.Route) { row.MaxAttempts = 1 }))
		for _, d := range second(c, all) {
			if d.Verdict != Refuse {
				t.Errorf("%s: verdict %d, pool %q", name, d.Verdict, d.Pool)
			}
		}
	}
}

func TestRequestOfRouteThatIsNoLongerIdempotentIsNotRepeated(t *testing.T) {
	for name, second := range secondAttempts {
		for _, next := range []table.Idempotency{table.IdempotentNever, table.IdempotentByMethod} {
			v1 := boundFleet.version(1, func(*table.Route) {})
			c := boundCore(v1)
			all := placeAll(t, c, v1)
			for _, p := range all {
				p.Method = http.MethodPost
			}
			c.SetTables(at(2*time.Second), boundFleet.version(2, func(row *table.Route) { row.Idempotency = next }))
			for _, d := range second(c, all) {
				if d.Verdict != Refuse {
					t.Errorf("%s, %s: verdict %d, pool %q", name, next, d.Verdict, d.Pool)
				}
			}
		}
	}
}

// What the caller has stated about its request holds, whatever the tables say.
func TestRequestStatedToBeIdempotentStaysSo(t *testing.T) {
	v1 := boundFleet.version(1, func(*table.Route) {})
	c := boundCore(v1)
	all := placeAll(t, c, v1)
	c.SetTables(at(2*time.Second), boundFleet.version(2, func(row *table.Route) { row.Idempotency = table.IdempotentNever }))
	for _, d := range furtherAttempts(c, all) {
		mustDispatch(t, d)
	}
}

// Newer tables may reach the part that matches requests before the Core.
func TestRequestOfNewerTablesKeepsItsRoute(t *testing.T) {
	c := boundCore(inRegion(1, "osrednja"))
	v2 := inRegion(2, "stajerska")
	for key := range uint64(objects) {
		r := arrivedRequest(v2, at(time.Second), key+1)
		if d := mustDispatch(t, c.Decide(at(time.Second), r)); d.Region() != "stajerska" || d.TablesVersion != 2 {
			t.Errorf("region %s, version %d", d.Region(), d.TablesVersion)
		}
	}
}
