package bench

import (
	"fmt"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// service describes a simulated service. slots is the number of requests that each
// target runs at once; the delays are one-way.
type service struct {
	name            string
	regions         []string
	targets         int
	slots           int
	meanServiceTime time.Duration
	zoneDelay       time.Duration
	regionDelay     time.Duration
	callerDelay     time.Duration
	priority        table.Priority
}

var (
	slovenia = []string{"osrednja", "stajerska", "primorska"}
	wales    = []string{"gogledd", "canolbarth", "de"}

	feedlog   = service{"feedlog", slovenia, 20, 4, 20 * time.Millisecond, 4 * time.Millisecond, 35 * time.Millisecond, 1 * time.Millisecond, table.PriorityNormal}
	certdesk  = service{"certdesk", slovenia, 12, 4, 10 * time.Millisecond, 4 * time.Millisecond, 35 * time.Millisecond, 1 * time.Millisecond, table.PriorityHigh}
	catalogue = service{"catalogue", wales, 24, 6, 15 * time.Millisecond, 3 * time.Millisecond, 20 * time.Millisecond, 3 * time.Millisecond, table.PriorityNormal}
	archive   = service{"archive", wales, 12, 5, 50 * time.Millisecond, 3 * time.Millisecond, 20 * time.Millisecond, 3 * time.Millisecond, table.PriorityLow}
)

// capacity returns the throughput of all targets in requests per second.
func (s service) capacity() float64 { return float64(s.targets*s.slots) / s.meanServiceTime.Seconds() }

func zoneOf(region string, i int) string { return fmt.Sprintf("%s-%d", region, i%2+1) }

// tables returns routing tables with one pool per region, whose targets are
// divided between the region's two zones.
func (s service) tables() *table.Tables {
	t := &table.Tables{Version: 1, AcceptedAt: epoch}
	rt := table.Route{Name: s.name, Priority: s.priority}
	for _, region := range s.regions {
		t.Pools = append(t.Pools, table.Pool{Name: s.name + "-" + region, Region: region, ShiftCap: 0.1, ShiftWindow: table.Duration(10 * time.Second)})
		t.Regions = append(t.Regions, table.Region{Name: region})
		rt.Pools = append(rt.Pools, table.PoolWeight{Pool: s.name + "-" + region, Weight: 1})
	}
	for i := range s.targets {
		p := &t.Pools[i%len(s.regions)]
		p.Targets = append(p.Targets, table.Target{
			Name: fmt.Sprintf("%s-%02d", s.name, i), Address: fmt.Sprintf("10.0.0.%d:80", i),
			Zone: zoneOf(p.Region, i/len(s.regions)), Slots: s.slots,
		})
		t.Regions[i%len(s.regions)].Limit += s.slots
	}
	t.Routes = []table.Route{rt}
	return t
}
