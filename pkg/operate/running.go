package operate

import (
	"context"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/peer/operator"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// inFlightCounts counts the requests in flight.
type inFlightCounts struct {
	regions map[string]int
	pools   map[string]int
	// unchecked lists instances that did not answer.
	unchecked []string
}

// checkInFlight checks the limits that an edit lowers against the requests in
// flight. It returns the problems, and the instances that did not answer.
func (s *Session) checkInFlight(ctx context.Context, current, next *table.Tables) ([]table.Problem, []string) {
	old, after := current.WithDefaults(), next.WithDefaults()
	if !lowersAnyLimit(old, after) {
		return nil, nil
	}
	list, err := s.Instances.ListInstances(ctx)
	if err != nil {
		return nil, []string{"all: the platform's list of instances can't be read"}
	}
	run := countInFlight(old, s.Admin.StatusOfAll(ctx, list))
	for range inFlightSamples - 1 {
		if s.sleep(ctx, inFlightSampleInterval) != nil {
			break
		}
		run.mergeMax(countInFlight(old, s.Admin.StatusOfAll(ctx, list)))
	}
	return CheckLoweredLimits(old, after, run.regions, run.pools), run.unchecked
}

const (
	// inFlightSamples is how often the requests in flight are counted; the
	// largest count is taken for what is running.
	inFlightSamples        = 5
	inFlightSampleInterval = 100 * time.Millisecond
)

// mergeMax takes over the counts of a later sample that are larger.
func (r *inFlightCounts) mergeMax(later inFlightCounts) {
	for name, n := range later.regions {
		r.regions[name] = max(r.regions[name], n)
	}
	for name, n := range later.pools {
		r.pools[name] = max(r.pools[name], n)
	}
}

// CheckLoweredLimits returns a problem for each region and pool whose limit is lowered
// below its requests in flight.
func CheckLoweredLimits(old, after *table.Tables, regions, pools map[string]int) []table.Problem {
	var ps []table.Problem
	for i, r := range after.Regions {
		was := old.Region(r.Name)
		if was != nil && r.Limit < was.Limit && r.Limit < regions[r.Name] {
			ps = append(ps, table.NewProblem("regions", i, "region "+r.Name, "limit",
				"%d is below the %d requests in flight; lower it in steps, or drain targets of the region first", r.Limit, regions[r.Name]))
		}
	}
	for i := range after.Pools {
		p := &after.Pools[i]
		was := old.Pool(p.Name)
		if was != nil && p.Slots() < was.Slots() && p.Slots() < pools[p.Name] {
			ps = append(ps, table.NewProblem("pools", i, "pool "+p.Name, "targets",
				"%d slots are below the %d requests in flight; drain the targets before they are removed", p.Slots(), pools[p.Name]))
		}
	}
	return ps
}

// lowersAnyLimit reports whether any limit is lower after the edit.
func lowersAnyLimit(old, after *table.Tables) bool {
	for _, r := range after.Regions {
		if was := old.Region(r.Name); was != nil && r.Limit < was.Limit {
			return true
		}
	}
	for i := range after.Pools {
		if was := old.Pool(after.Pools[i].Name); was != nil && after.Pools[i].Slots() < was.Slots() {
			return true
		}
	}
	return false
}

// countInFlight adds up the requests in flight. A pool's requests are counted by the
// instances of its own region, since only they talk to its targets.
func countInFlight(t *table.Tables, reports []operator.Report) inFlightCounts {
	run := inFlightCounts{regions: map[string]int{}, pools: map[string]int{}}
	for _, rep := range reports {
		if rep.Err != nil {
			run.unchecked = append(run.unchecked, rep.Instance.ID+": "+rep.Err.Error())
			continue
		}
		for _, ps := range rep.Status.Pools {
			p := t.Pool(ps.Pool)
			if p == nil || p.Region != rep.Instance.Region {
				continue
			}
			run.pools[ps.Pool] += ps.InFlight
			run.regions[p.Region] += ps.InFlight
		}
	}
	return run
}
