package slopes

import (
	"math/rand/v2"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/capacity"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// decideTime measures the mean time of a Decide call and its Done call, in
// nanoseconds.
func decideTime(r *run) (capacity.Line, error) {
	now := time.Unix(1_800_000_000, 0)
	tb := tables(32)
	tb.Version, tb.AcceptedAt = 1, now.Add(-time.Hour)
	for i := range tb.Pools {
		for j := range tb.Pools[i].Targets {
			tb.Pools[i].Targets[j].Zone = "osrednja-a"
		}
	}
	tb = tb.WithDefaults()
	core := steer.New(steer.Self{Instance: "i", Zone: "osrednja-a", Region: "osrednja"}, rand.NewPCG(1, 1))
	core.SetTables(now, tb)
	shares := steer.Shares{Expires: now.Add(time.Hour), Slots: map[string]int{}, Regions: map[string]int{"osrednja": 1000}}
	for _, p := range tb.Pools {
		for _, tg := range p.Targets {
			shares.Slots[tg.Name] = tg.Slots
		}
	}
	core.SetShares(now, shares)
	n := 1000
	if r.fullScale {
		n = 200_000
	}
	refused := 0
	start := time.Now()
	for i := range n {
		at := now.Add(time.Duration(i) * 100 * time.Microsecond)
		req := steer.Request{Route: &tb.Routes[i%len(tb.Routes)], TablesVersion: tb.Version, Idempotent: true, BodyBytes: 0, Arrived: at, Deadline: at.Add(time.Second)}
		d := core.Decide(at, &req)
		if d.Verdict != steer.Dispatch {
			refused++
			continue
		}
		core.Done(at, d, steer.Result{Latency: time.Millisecond})
	}
	took := time.Since(start)
	if refused > n/10 {
		return capacity.Line{}, fault.New(fault.KindInvariantBroken, "%d of %d decisions did not dispatch the request", refused, n)
	}
	return capacity.Line{Slope: float64(took.Nanoseconds()) / float64(n)}, nil
}
