package allowance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 20261204, 60) }

// faultKind is a kind of fault that a simulation injects.
type faultKind int

const (
	pause           faultKind = iota // the process makes no progress
	blockStore                       // the process cannot reach the store
	dropOutbound                     // messages from the process are lost, it still receives
	dropInbound                      // messages to the process are lost, it still sends
	crash                            // the process terminates and its successor starts
	replaceIsolated                  // a successor starts while the process runs on, isolated from all
	storeOutage                      // no process can reach the store
	lowerLimit                       // the tables lower the limit
	raiseLimit                       // the tables raise the limit
	leaveGracefully                  // the process leaves and gives up its shares
	faultKindCount
)

type faultEvent struct {
	At, For  time.Duration
	Kind     faultKind
	Instance int
}

type simulationConfig struct {
	Seed      uint64
	Instances int
	Loss      float64
	MaxDelay  time.Duration
	Faults    []faultEvent
	Overrides SafetyOverrides
}

const (
	simulationStep     = 250 * time.Millisecond
	simulationDuration = 120 * time.Second
	testLimit          = Limit("target/feedlog-1")
)

func testTiming() Timing {
	return Timing{
		Lease: 10 * time.Second, LongLease: 40 * time.Second, MaxLoan: 4 * time.Second,
		TerminatedGracePeriod: time.Second, MaxClockDrift: 0.05,
	}
}

// process is one incarnation of an instance.
type process struct {
	key           HolderKey
	index         int
	rate          float64
	epoch         time.Time
	ledger        *Ledger
	witness       *Witness
	reclaimer     *Reclaimer
	heartbeats    *HeartbeatBuffer
	published     Shares
	tablesVersion int
	faultUntil    [faultKindCount]time.Duration
	isolated      bool
	terminated    bool
}

type message struct {
	deliverAt time.Duration
	from      *process
	to        *process
	deliver   func()
}

// simulation runs processes with a lossy network and one store in virtual
// time.
type simulation struct {
	cfg              simulationConfig
	rnd              *rand.Rand
	now              time.Duration
	store            *Row
	processes        []*process // all incarnations, in the order of their start
	current          []*process // newest incarnation of each instance
	pending          []message
	limits           []int // limit by tables version minus one
	globalFaultUntil [faultKindCount]time.Duration
	started          int
}

func newSimulation(cfg simulationConfig) *simulation {
	s := &simulation{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 1)), store: &Row{}, limits: []int{7}}
	for i := range cfg.Instances {
		s.current = append(s.current, s.start(i))
	}
	return s
}

func (s *simulation) start(i int) *process {
	s.started++
	k := HolderKey{ID: fmt.Sprintf("osrednja-%d", i), Incarnation: fmt.Sprint(s.started)}
	t := testTiming()
	p := &process{
		key: k, index: i, epoch: time.Unix(int64(1000*s.started), 0), rate: 1 + (s.rnd.Float64()-0.5)*t.MaxClockDrift*0.95, tablesVersion: len(s.limits),
		ledger: NewLedger(k, k.ID, t, s.cfg.Overrides), witness: NewWitness(k, t),
		reclaimer: NewReclaimer(k, t, s.cfg.Overrides), heartbeats: NewHeartbeatBuffer(t),
	}
	s.processes = append(s.processes, p)
	return p
}

// clock returns the time on the clock of p.
func (s *simulation) clock(p *process) time.Time {
	return p.epoch.Add(time.Duration(float64(s.now) * p.rate))
}

func (s *simulation) faultActive(p *process, k faultKind) bool { return s.now < p.faultUntil[k] }

func (s *simulation) running(p *process) bool { return !p.terminated && !s.faultActive(p, pause) }

func (s *simulation) storeReachable(p *process) bool {
	return s.now >= s.globalFaultUntil[storeOutage] && !s.faultActive(p, blockStore) && !p.isolated
}

func (s *simulation) send(from, to *process, deliver func()) {
	copies := 1
	if s.rnd.Float64() < 0.1 {
		copies = 2
	}
	for range copies {
		if s.rnd.Float64() < s.cfg.Loss || s.faultActive(from, dropOutbound) || from.isolated || to.isolated {
			continue
		}
		delay := time.Duration(s.rnd.Int64N(int64(s.cfg.MaxDelay) + 1))
		s.pending = append(s.pending, message{deliverAt: s.now + delay, from: from, to: to, deliver: deliver})
	}
}

// run advances to the end and returns the first violation of the limit.
func (s *simulation) run() error {
	for s.now = 0; s.now < simulationDuration; s.now += simulationStep {
		s.injectFaults()
		s.deliverMessages()
		for _, p := range s.processes {
			if s.running(p) {
				s.step(p)
			}
		}
		if err := s.checkLimit(); err != nil {
			return err
		}
	}
	return nil
}

func (s *simulation) checkLimit() error {
	sum := 0
	for _, p := range s.processes {
		if !p.terminated && s.clock(p).Before(p.published.Expires) {
			sum += p.published.Counts[testLimit]
		}
	}
	highest := 0
	for _, l := range s.limits {
		highest = max(highest, l)
	}
	if sum > highest {
		return fmt.Errorf("at %v: %d shares are usable, limit %d", s.now, sum, highest)
	}
	return nil
}

func (s *simulation) injectFaults() {
	for _, f := range s.cfg.Faults {
		if f.At < s.now || f.At >= s.now+simulationStep {
			continue
		}
		i := f.Instance % len(s.current)
		p := s.current[i]
		switch f.Kind {
		case crash:
			p.terminated = true
			s.current[i] = s.start(i)
		case replaceIsolated:
			p.isolated = true
			s.current[i] = s.start(i)
		case storeOutage:
			s.globalFaultUntil[storeOutage] = s.now + f.For
		case lowerLimit:
			s.limits = append(s.limits, 3)
		case raiseLimit:
			s.limits = append(s.limits, 7)
		case leaveGracefully:
			p.ledger.Leave()
		default:
			p.faultUntil[f.Kind] = s.now + f.For
		}
	}
}

func (s *simulation) deliverMessages() {
	var later []message
	due := s.pending
	s.pending = nil
	for _, m := range due {
		switch {
		case m.deliverAt > s.now || s.faultActive(m.to, pause):
			later = append(later, m)
		case m.to.terminated || s.faultActive(m.to, dropInbound) || m.to.isolated:
		default:
			m.deliver()
			m.to.publish(s.clock(m.to))
		}
	}
	s.pending = append(s.pending, later...)
}

func (p *process) publish(now time.Time) { p.published = p.ledger.Shares(now) }

func (s *simulation) step(p *process) {
	now := s.clock(p)
	if p.index%2 == 0 {
		p.ledger.SetInUse(now, Counts{testLimit: s.rnd.IntN(p.published.Counts[testLimit] + 1)})
	}
	p.publish(now)
	if s.rnd.IntN(8) == 0 {
		p.tablesVersion = len(s.limits)
	}
	switch s.rnd.IntN(4) {
	case 0:
		s.sendHeartbeat(p, now)
	case 1:
		s.writeRow(p, now)
	case 2:
		s.requestPromises(p, now)
	case 3:
		s.borrow(p, now)
	}
}

// sendHeartbeat sends a heartbeat to p itself and to two random processes.
func (s *simulation) sendHeartbeat(p *process, now time.Time) {
	hb := p.ledger.Heartbeat(now)
	for _, to := range []*process{p, s.current[s.rnd.IntN(len(s.current))], s.current[s.rnd.IntN(len(s.current))]} {
		s.send(p, to, func() {
			to.heartbeats.Add(s.clock(to), hb)
			s.sendRow(to, p)
		})
	}
}

// sendRow sends the newest row that from has observed.
func (s *simulation) sendRow(from, to *process) {
	row := from.ledger.Row()
	s.send(from, to, func() { to.observeRow(s.clock(to), row) })
}

// observeRow passes row, which may be out of date, to the ledger and the witness
// of p.
func (p *process) observeRow(now time.Time, row *Row) {
	p.ledger.ObserveRow(now, row)
	p.witness.Prune(now, row)
}

// writeRow reads the row and writes the next version in one atomic step.
func (s *simulation) writeRow(p *process, now time.Time) {
	if !s.storeReachable(p) || p.isolated {
		return
	}
	row := s.store
	p.reclaimer.ObserveRow(now, row)
	p.observeRow(now, row)
	s.reclaim(p, now)
	if s.store == row {
		s.store = Plan(row, PlanInputs{TablesVersion: uint64(p.tablesVersion), Limits: Counts{testLimit: s.limits[p.tablesVersion-1]}, Heartbeats: p.heartbeats.Recent(now)})
	}
	if s.rnd.Float64() >= s.cfg.Loss {
		p.observeRow(now, s.store)
	}
	p.publish(now)
}

func (s *simulation) reclaim(p *process, now time.Time) {
	for _, k := range p.reclaimer.ExpiredHolders(now) {
		for _, req := range p.reclaimer.ConsentRequests(now, k) {
			s.requestConsent(p, req)
		}
	}
	for _, other := range s.processes {
		if other.terminated {
			p.reclaimer.ObserveTermination(now, other.key)
		}
		if s.store == p.reclaimer.row && p.reclaimer.MayReclaim(now, other.key) {
			s.store = Reclaim(s.store, other.key)
			p.heartbeats.Remove(other.key)
		}
	}
}

func (s *simulation) find(k HolderKey) *process {
	for _, p := range s.processes {
		if p.key == k {
			return p
		}
	}
	return nil
}

func (s *simulation) requestConsent(p *process, req ConsentRequest) {
	to := s.find(req.Witness)
	s.send(p, to, func() {
		if to.witness.GrantConsent(s.clock(to), req) {
			s.send(to, p, func() { p.reclaimer.RecordConsent(req) })
		}
	})
}

func (s *simulation) requestPromises(p *process, now time.Time) {
	for _, req := range p.ledger.PromiseRequests(now) {
		to := s.find(req.Witness)
		if to.terminated {
			p.ledger.ObserveWitnessTermination(now, req.Witness)
			p.publish(now)
		}
		s.send(p, to, func() {
			if to.witness.GrantPromise(s.clock(to), to.ledger.Expires(), req) {
				s.send(to, p, func() { p.ledger.RecordPromise(now, req) })
			}
		})
	}
}

func (s *simulation) borrow(p *process, now time.Time) {
	to := s.current[s.rnd.IntN(len(s.current))]
	if to == p {
		return
	}
	req := p.ledger.RequestLoan(now, to.key, testLimit, s.rnd.IntN(4))
	p.publish(now)
	s.send(p, to, func() {
		loan := to.ledger.Lend(s.clock(to), req)
		to.publish(s.clock(to))
		if loan.Count > 0 && s.rnd.IntN(10) == 0 {
			loan = to.ledger.CancelLoan(req, loan)
		}
		s.send(to, p, func() { p.ledger.RecordLoan(s.clock(p), now, req, loan) })
	})
}
