package steer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// objects is the number of objects, and requests, of the tests of changed tables.
const objects = 20

// version returns tables like those of f, with the version n and what change does to the
// first route.
func (f fleet) version(n uint64, change func(row *table.Route)) *table.Tables {
	t := f.tables()
	t.Version = n
	change(&t.Routes[0])
	return t
}

var boundFleet = fleet{perRegion: []int{4, 2, 4}, slots: 20}

// inRegion returns the version n of the tables, in which the route allows one region.
func inRegion(n uint64, region string) *table.Tables {
	return boundFleet.version(n, func(row *table.Route) { row.Regions = []string{region} })
}

// boundCore returns the Core of an instance with direct dispatch that may retry and hedge all
// requests of the tests.
func boundCore(t *table.Tables) *Core {
	policy := directPolicy
	policy.RetryRatio, policy.RetryReserve = 1, 10*objects
	c := New(Self{Instance: "a", Zone: "osrednja-a", Region: "osrednja"}, rand.NewPCG(1, 2))
	c.EnableDirect(policy)
	c.SetInstances(epoch, membersOf("a"), true)
	c.SetTables(epoch, t)
	for _, service := range []string{"feedlog", "second"} {
		for range 2 * objects {
			c.retryBudget(&Request{service: service}).Deposit()
		}
	}
	return c
}

// arrivedRequest returns the request for an object that arrives at now, under t.
func arrivedRequest(t *table.Tables, now time.Time, key uint64) *Request {
	r := directRequest(t, now, key)
	r.Path, r.Deadline = "/read", now.Add(10*time.Second)
	return r
}

// placed is a request with the decision on its first attempt.
type placed struct {
	*Request
	d Decision
}

// placeAll places one request for each object under t, which c has.
func placeAll(t *testing.T, c *Core, tb *table.Tables) []placed {
	t.Helper()
	var all []placed
	for key := range uint64(objects) {
		r := arrivedRequest(tb, at(time.Second), key+1)
		d := mustDispatch(t, c.Decide(at(time.Second), r))
		r.Attempts++
		r.Exclude(d.Target)
		all = append(all, placed{r, d})
	}
	return all
}

func TestAttemptOutsideTheAllowedRegionsIsRecognised(t *testing.T) {
	for name, tc := range map[string]struct {
		next    *table.Tables
		allowed bool
	}{
		"unchanged":      {inRegion(2, "osrednja"), true},
		"another region": {inRegion(2, "stajerska"), false},
		"one more region": {boundFleet.version(2, func(row *table.Route) {
			row.Regions = []string{"stajerska", "osrednja"}
		}), true},
		"another pool": {boundFleet.version(2, func(row *table.Route) {
			row.Pools = slices.DeleteFunc(row.Pools, func(w table.PoolWeight) bool { return w.Pool == "feedlog.osrednja" })
		}), false},
		"another path": {boundFleet.version(2, func(row *table.Route) { row.PathPrefix = "/write" }), false},
	} {
		v1 := inRegion(1, "osrednja")
		c := boundCore(v1)
		all := placeAll(t, c, v1)
		for _, p := range all {
			if version, allowed := c.TablesNow(p.Request, &p.d); version != 1 || !allowed {
				t.Errorf("%s: version %d, allowed %v before the change", name, version, allowed)
			}
		}
		c.SetTables(at(2*time.Second), tc.next)
		for _, p := range all {
			if version, allowed := c.TablesNow(p.Request, &p.d); version != 2 || allowed != tc.allowed {
				t.Errorf("%s: version %d, allowed %v", name, version, allowed)
			}
		}
	}
}
