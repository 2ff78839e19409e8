package operate

import (
	"context"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/peer/operator"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// inFlightCounts holds the numbers of requests in flight by region and by pool.
type inFlightCounts struct {
	regions map[string]int
	pools   map[string]int
	// unchecked lists the instances that did not respond, with their errors.
	unchecked []string
}

// checkInFlight compares the limits that an edit lowers with the requests in
// flight. It returns the problems, and the instances whose requests could not be
// counted.
func (s *Session) checkInFlight(ctx context.Context, current, next *table.Tables) ([]table.Problem, []string) {
	old, after := current.WithDefaults(), next.WithDefaults()
	if !lowersAnyLimit(old, after) {
		return nil, nil
	}
	list, err := s.Instances.ListInstances(ctx)
	if err != nil {
		return nil, []string{"all: cannot read the platform's list of instances"}
	}
	counts := countInFlight(old, s.Admin.StatusOfAll(ctx, list))
	for range inFlightSamples - 1 {
		if s.sleep(ctx, inFlightSampleInterval) != nil {
			break
		}
		counts.mergeMax(countInFlight(old, s.Admin.StatusOfAll(ctx, list)))
	}
	return CheckLoweredLimits(old, after, counts.regions, counts.pools), counts.unchecked
}

const (
	// inFlightSamples is the number of times that the requests in flight are
	// counted. The largest count is used.
	inFlightSamples = 5
	// inFlightSampleInterval is the time between two counts.
	inFlightSampleInterval = 100 * time.Millisecond
)

// mergeMax raises each count to that of other if it is larger.
func (c *inFlightCounts) mergeMax(other inFlightCounts) {
	for name, n := range other.regions {
		c.regions[name] = max(c.regions[name], n)
	}
	for name, n := range other.pools {
		c.pools[name] = max(c.pools[name], n)
	}
}

// CheckLoweredLimits returns a problem for each region and pool whose limit is
// lowered below its requests in flight.
func CheckLoweredLimits(old, after *table.Tables, regions, pools map[string]int) []table.Problem {
	var problems []table.Problem
	for i, r := range after.Regions {
		before := old.Region(r.Name)
		if before != nil && r.Limit < before.Limit && r.Limit < regions[r.Name] {
			problems = append(problems, table.NewProblem("regions", i, "region "+r.Name, "limit",
				"%d is below the %d requests in flight; lower it in steps, or drain targets of the region first", r.Limit, regions[r.Name]))
		}
	}
	for i := range after.Pools {
		p := &after.Pools[i]
		before := old.Pool(p.Name)
		if before != nil && p.TotalSlots() < before.TotalSlots() && p.TotalSlots() < pools[p.Name] {
			problems = append(problems, table.NewProblem("pools", i, "pool "+p.Name, "targets",
				"%d slots are below the %d requests in flight; drain targets before removing them", p.TotalSlots(), pools[p.Name]))
		}
	}
	return problems
}

// lowersAnyLimit reports whether the edit lowers the limit of a region or the
// slots of a pool.
func lowersAnyLimit(old, after *table.Tables) bool {
	for _, r := range after.Regions {
		if before := old.Region(r.Name); before != nil && r.Limit < before.Limit {
			return true
		}
	}
	for i := range after.Pools {
		if before := old.Pool(after.Pools[i].Name); before != nil && after.Pools[i].TotalSlots() < before.TotalSlots() {
			return true
		}
	}
	return false
}

// countInFlight adds up the requests in flight. For a pool, only the instances of
// its own region are counted, since only they send requests to its targets.
func countInFlight(t *table.Tables, reports []operator.StatusResult) inFlightCounts {
	counts := inFlightCounts{regions: map[string]int{}, pools: map[string]int{}}
	for _, report := range reports {
		if report.Err != nil {
			counts.unchecked = append(counts.unchecked, report.Instance.ID+": "+report.Err.Error())
			continue
		}
		for _, status := range report.Status.Pools {
			p := t.Pool(status.Pool)
			if p == nil || p.Region != report.Instance.Region {
				continue
			}
			counts.pools[status.Pool] += status.InFlight
			counts.regions[p.Region] += status.InFlight
		}
	}
	return counts
}
