package allowance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 20261204, 60) }

// faultKind is one kind of fault in a world's schedule.
type faultKind int

const (
	pause      faultKind = iota // the process stands still
	cutStore                    // the process can't reach the store
	cutOut                      // the process's messages are lost, it still receives
	cutIn                       // the process receives nothing, it still sends
	crash                       // the process ends, its successor starts
	replace                     // a successor starts while the process is cut off alive
	outage                      // nobody reaches the store
	lowerLimit                  // the tables lower the limit
	raiseLimit                  // the tables raise the limit
	leave                       // the process stops in steps
	faultKinds
)

type injected struct {
	At, For  time.Duration
	Kind     faultKind
	Instance int
}

type worldConfig struct {
	Seed      uint64
	Instances int
	Loss      float64
	MaxDelay  time.Duration
	Faults    []injected
	Rules     SafetyOverrides
}

const (
	worldStep  = 250 * time.Millisecond
	worldSpan  = 120 * time.Second
	worldLimit = Limit("target/feedlog-1")
)

func worldTiming() Timing {
	return Timing{
		Lease: 10 * time.Second, LongLease: 40 * time.Second, MaxLoan: 4 * time.Second,
		TerminatedGracePeriod: time.Second, MaxClockDrift: 0.05,
	}
}

// process is one incarnation of an instance.
type process struct {
	key       HolderKey
	index     int
	rate      float64
	epoch     time.Time
	ledger    *Ledger
	witness   *Witness
	reclaimer *Reclaimer
	inbox     *HeartbeatBuffer
	published Shares
	tables    int
	until     [faultKinds]time.Duration
	isolated  bool
	dead      bool
}

type message struct {
	at      time.Duration
	from    *process
	to      *process
	deliver func()
}

// world runs processes over a lossy network and one store in virtual time.
type world struct {
	cfg    worldConfig
	rnd    *rand.Rand
	now    time.Duration
	store  *Row
	procs  []*process // all incarnations that ever ran
	live   []*process // the newest incarnation of each instance
	mail   []message
	limits []int // the limit by table version less one
	served [faultKinds]time.Duration
	born   int
}

func newWorld(cfg worldConfig) *world {
	w := &world{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 1)), store: &Row{}, limits: []int{7}}
	for i := range cfg.Instances {
		w.live = append(w.live, w.start(i))
	}
	return w
}

func (w *world) start(i int) *process {
	w.born++
	k := HolderKey{ID: fmt.Sprintf("osrednja-%d", i), Incarnation: fmt.Sprint(w.born)}
	t := worldTiming()
	p := &process{
		key: k, index: i, epoch: time.Unix(int64(1000*w.born), 0), rate: 1 + (w.rnd.Float64()-0.5)*t.MaxClockDrift*0.95, tables: len(w.limits),
		ledger: NewLedger(k, k.ID, t, w.cfg.Rules), witness: NewWitness(k, t),
		reclaimer: NewReclaimer(k, t, w.cfg.Rules), inbox: NewHeartbeatBuffer(t),
	}
	w.procs = append(w.procs, p)
	return p
}

// clock returns the time on the clock of p.
func (w *world) clock(p *process) time.Time {
	return p.epoch.Add(time.Duration(float64(w.now) * p.rate))
}

func (w *world) active(p *process, k faultKind) bool { return w.now < p.until[k] }

func (w *world) running(p *process) bool { return !p.dead && !w.active(p, pause) }

func (w *world) storeUp(p *process) bool {
	return w.now >= w.served[outage] && !w.active(p, cutStore) && !p.isolated
}

func (w *world) send(from, to *process, deliver func()) {
	copies := 1
	if w.rnd.Float64() < 0.1 {
		copies = 2
	}
	for range copies {
		if w.rnd.Float64() < w.cfg.Loss || w.active(from, cutOut) || from.isolated || to.isolated {
			continue
		}
		delay := time.Duration(w.rnd.Int64N(int64(w.cfg.MaxDelay) + 1))
		w.mail = append(w.mail, message{at: w.now + delay, from: from, to: to, deliver: deliver})
	}
}

// run advances to the end and returns the first violation.
func (w *world) run() error {
	for w.now = 0; w.now < worldSpan; w.now += worldStep {
		w.inject()
		w.deliver()
		for _, p := range w.procs {
			if w.running(p) {
				w.tick(p)
			}
		}
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) check() error {
	sum := 0
	for _, p := range w.procs {
		if !p.dead && w.clock(p).Before(p.published.Expires) {
			sum += p.published.Counts[worldLimit]
		}
	}
	most := 0
	for _, l := range w.limits {
		most = max(most, l)
	}
	if sum > most {
		return fmt.Errorf("at %v the usable shares are %d of %d", w.now, sum, most)
	}
	return nil
}

func (w *world) inject() {
	for _, f := range w.cfg.Faults {
		if f.At < w.now || f.At >= w.now+worldStep {
			continue
		}
		i := f.Instance % len(w.live)
		p := w.live[i]
		switch f.Kind {
		case crash:
			p.dead = true
			w.live[i] = w.start(i)
		case replace:
			p.isolated = true
			w.live[i] = w.start(i)
		case outage:
			w.served[outage] = w.now + f.For
		case lowerLimit:
			w.limits = append(w.limits, 3)
		case raiseLimit:
			w.limits = append(w.limits, 7)
		case leave:
			p.ledger.Leave()
		default:
			p.until[f.Kind] = w.now + f.For
		}
	}
}

func (w *world) deliver() {
	var later []message
	due := w.mail
	w.mail = nil
	for _, m := range due {
		switch {
		case m.at > w.now || w.active(m.to, pause):
			later = append(later, m)
		case m.to.dead || w.active(m.to, cutIn) || m.to.isolated:
		default:
			m.deliver()
			m.to.publish(w.clock(m.to))
		}
	}
	w.mail = append(w.mail, later...)
}

func (p *process) publish(now time.Time) { p.published = p.ledger.Shares(now) }

func (w *world) tick(p *process) {
	now := w.clock(p)
	if p.index%2 == 0 {
		p.ledger.SetInUse(now, Counts{worldLimit: w.rnd.IntN(p.published.Counts[worldLimit] + 1)})
	}
	p.publish(now)
	if w.rnd.IntN(8) == 0 {
		p.tables = len(w.limits)
	}
	switch w.rnd.IntN(4) {
	case 0:
		w.heartbeat(p, now)
	case 1:
		w.write(p, now)
	case 2:
		w.promises(p, now)
	case 3:
		w.borrow(p, now)
	}
}

// heartbeat sends a heartbeat to two others and itself.
func (w *world) heartbeat(p *process, now time.Time) {
	hb := p.ledger.Heartbeat(now)
	for _, to := range []*process{p, w.live[w.rnd.IntN(len(w.live))], w.live[w.rnd.IntN(len(w.live))]} {
		w.send(p, to, func() {
			to.inbox.Add(w.clock(to), hb)
			w.answerRow(to, p)
		})
	}
}

// answerRow sends the row that from has seen to its peer.
func (w *world) answerRow(from, to *process) {
	row := from.ledger.Row()
	w.send(from, to, func() { to.ledger.ObserveRow(w.clock(to), row) })
}

// write reads the row and, in one step of the store, writes the next.
func (w *world) write(p *process, now time.Time) {
	if !w.storeUp(p) || p.isolated {
		return
	}
	row := w.store
	p.reclaimer.ObserveRow(now, row)
	p.ledger.ObserveRow(now, row)
	w.reclaim(p, now)
	if w.store == row {
		w.store = Plan(row, PlanInputs{TablesVersion: uint64(p.tables), Limits: Counts{worldLimit: w.limits[p.tables-1]}, Heartbeats: p.inbox.Recent(now)})
	}
	if w.rnd.Float64() >= w.cfg.Loss {
		p.ledger.ObserveRow(now, w.store)
	}
	p.publish(now)
}

func (w *world) reclaim(p *process, now time.Time) {
	for _, k := range p.reclaimer.ExpiredHolders(now) {
		for _, a := range p.reclaimer.ConsentRequests(now, k) {
			w.askConsent(p, a)
		}
	}
	for _, q := range w.procs {
		if q.dead {
			p.reclaimer.ObserveTermination(now, q.key)
		}
		if w.store == p.reclaimer.row && p.reclaimer.MayReclaim(now, q.key) {
			w.store = Reclaim(w.store, q.key)
			p.inbox.Remove(q.key)
		}
	}
}

func (w *world) find(k HolderKey) *process {
	for _, p := range w.procs {
		if p.key == k {
			return p
		}
	}
	return nil
}

func (w *world) askConsent(p *process, a ConsentRequest) {
	to := w.find(a.Witness)
	w.send(p, to, func() {
		if to.witness.GrantConsent(w.clock(to), a) {
			w.send(to, p, func() { p.reclaimer.RecordConsent(a) })
		}
	})
}

func (w *world) promises(p *process, now time.Time) {
	for _, ask := range p.ledger.PromiseRequests(now) {
		to := w.find(ask.Witness)
		if to.dead {
			p.ledger.ObserveWitnessTermination(now, ask.Witness)
			p.publish(now)
		}
		w.send(p, to, func() {
			if to.witness.GrantPromise(w.clock(to), to.ledger.Expires(), ask) {
				w.send(to, p, func() { p.ledger.RecordPromise(now, ask) })
			}
		})
	}
}

func (w *world) borrow(p *process, now time.Time) {
	to := w.live[w.rnd.IntN(len(w.live))]
	if to == p {
		return
	}
	q := p.ledger.RequestLoan(now, to.key, worldLimit, w.rnd.IntN(4))
	p.publish(now)
	w.send(p, to, func() {
		ln := to.ledger.Lend(w.clock(to), q)
		to.publish(w.clock(to))
		if ln.Count > 0 && w.rnd.IntN(10) == 0 {
			to.ledger.CancelLoan(q)
			return
		}
		w.send(to, p, func() { p.ledger.RecordLoan(w.clock(p), now, q, ln) })
	})
}
