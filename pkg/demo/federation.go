package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/daemon"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
	standin "github.com/jacinthramp/jacinthramp/pkg/standin/platform"
	"github.com/jacinthramp/jacinthramp/pkg/standin/target"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// location is an availability zone and its region.
type location struct {
	zone   string
	region string
}

// locations are the six availability zones.
var locations = []location{
	{"osrednja-a", "osrednja"},
	{"osrednja-b", "osrednja"},
	{"stajerska-a", "stajerska"},
	{"stajerska-b", "stajerska"},
	{"primorska-a", "primorska"},
	{"primorska-b", "primorska"},
}

// instanceCount is the number of instances, assigned to the zones in turn.
const instanceCount = 11

// service is a kind of workload and its targets.
type service struct {
	name    string
	targets int
	config  target.Config
}

// services are the four kinds of workload. Their targets are assigned to the
// zones in turn.
var services = []service{
	{"feedlog", 20, target.Config{Slots: 4, ServiceTime: ms(8), ServiceTimeP99: ms(30)}},
	{"certdesk", 12, target.Config{Slots: 4, ServiceTime: ms(5), ServiceTimeP99: ms(20)}},
	{"catalogue", 24, target.Config{Slots: 6, ServiceTime: ms(6), ServiceTimeP99: ms(25)}},
	{"archive", 12, target.Config{Slots: 5, ServiceTime: ms(25), ServiceTimeP99: ms(90)}},
}

func ms(n int) table.Duration { return table.Duration(time.Duration(n) * time.Millisecond) }

const (
	// instanceListLag is the age of the platform's list of instances.
	instanceListLag = time.Second
	// storeDelay is the delay of each call to the store.
	storeDelay = 2 * time.Millisecond
	// anyPort lets the operating system choose a free port.
	anyPort = "127.0.0.1:0"
	// reportLag is the age of the targets' load reports.
	reportLag = 100 * time.Millisecond
	// restartAfter is the time until a crashed target restarts.
	restartAfter = 2 * time.Second
	// drainGrace is the time for which a leaving target still accepts new
	// requests. It is longer than the system may need to stop sending them, so
	// that late requests are measured instead of shed.
	drainGrace = 6 * time.Second
)

// deployedTarget is a target and its location.
type deployedTarget struct {
	name string
	location
	service string
	slots   int
}

// federation holds everything that the demo starts.
type federation struct {
	store       *standin.Store
	targetGroup *target.Group
	targets     []deployedTarget
	instances   []*runningInstance
	wg          conc.WaitGroup
}

// runningInstance is a started instance.
type runningInstance struct {
	self platform.Instance
	stop context.CancelFunc
}

// newFederation starts the stand-ins and the instances.
func newFederation(ctx context.Context) (*federation, error) {
	f := &federation{store: standin.New(nil)}
	f.store.SetFaults(standin.Faults{
		ListLag: table.Duration(instanceListLag), Delay: table.Duration(storeDelay),
		ReadsPerSecond: 2000, WritesPerSecond: 400,
	})
	f.targetGroup = target.NewGroup(f.targetConfigs(), target.NewRecorder(nil))
	if err := f.targetGroup.Start(); err != nil {
		return nil, err
	}
	for i := range instanceCount {
		if err := f.startInstance(ctx, i); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

// targetConfigs returns the configurations of all targets, distributed over the
// zones, and records them in f.targets.
func (f *federation) targetConfigs() []target.Config {
	var configs []target.Config
	for _, s := range services {
		for i := range s.targets {
			loc := locations[i%len(locations)]
			c := s.config
			c.Name = fmt.Sprintf("%s-%s-%d", s.name, loc.zone, i/len(locations)+1)
			c.Address = anyPort
			c.Seed = uint64(len(configs) + 1)
			c.ColdFactor, c.WarmRequests = 2, 20
			c.DrainGrace = new(table.Duration(drainGrace))
			c.RestartAfter = table.Duration(restartAfter)
			c.Faults.ReportLag = table.Duration(reportLag)
			configs = append(configs, c)
			f.targets = append(f.targets, deployedTarget{name: c.Name, location: loc, service: s.name, slots: c.Slots})
		}
	}
	return configs
}

// startInstance starts the instance with the given number, counted from 0.
func (f *federation) startInstance(ctx context.Context, number int) error {
	loc := locations[number%len(locations)]
	s := settings.Default()
	s.Instance = settings.Instance{ID: fmt.Sprintf("%s-%d", loc.zone, number/len(locations)+1), Zone: loc.zone, Region: loc.region}
	s.Leave.MinLookupTTL = settings.Duration(lookupTTL)
	s.Listen = settings.Listen{Caller: anyPort, Hop: anyPort, Peer: anyPort, Admin: anyPort}
	d, err := daemon.New(&s, f.store, zap.NewNop())
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	f.instances = append(f.instances, &runningInstance{self: d.Self(), stop: stop})
	f.wg.Go(func() { _ = d.Run(ctx) })
	return nil
}

// targetWithMostRuns returns the name of the service's target with the most runs.
func (f *federation) targetWithMostRuns(service string) string {
	name, most := "", -1
	for i, st := range f.targetGroup.Stats() {
		if f.targets[i].service == service && st.Runs > most {
			name, most = st.Name, st.Runs
		}
	}
	return name
}

// entryAddresses returns the caller addresses of a zone's instances.
func (f *federation) entryAddresses(zone string) []string {
	var addresses []string
	for _, r := range f.instances {
		if r.self.Zone == zone {
			addresses = append(addresses, r.self.CallerAddress)
		}
	}
	return addresses
}

// stopInstances starts a planned shutdown of every instance and waits until all
// have stopped.
func (f *federation) stopInstances() {
	for _, r := range f.instances {
		r.stop()
	}
	f.wg.Wait()
}

// close stops the instances and the targets.
func (f *federation) close() {
	f.stopInstances()
	f.targetGroup.Close()
}
