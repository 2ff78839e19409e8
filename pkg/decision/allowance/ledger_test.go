package allowance

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawWorld(t *rapid.T) worldConfig {
	fault := rapid.Custom(func(t *rapid.T) injected {
		return injected{
			At:       time.Duration(rapid.IntRange(0, 110).Draw(t, "at")) * time.Second,
			For:      time.Duration(rapid.IntRange(1, 70).Draw(t, "for")) * time.Second,
			Kind:     faultKind(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind")),
			Instance: rapid.IntRange(0, 4).Draw(t, "instance"),
		}
	})
	return worldConfig{
		Seed:      rapid.Uint64().Draw(t, "seed"),
		Instances: rapid.IntRange(1, 5).Draw(t, "instances"),
		Loss:      float64(rapid.IntRange(0, 40).Draw(t, "loss")) / 100,
		MaxDelay:  time.Duration(rapid.IntRange(0, 6000).Draw(t, "delay")) * time.Millisecond,
		Faults:    rapid.SliceOfN(fault, 0, 8).Draw(t, "faults"),
	}
}

func TestSharesOfAllIncarnationsNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newWorld(drawWorld(t)).run(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestSharesComeBackAfterTheFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := drawWorld(t)
		cfg.Loss = min(cfg.Loss, 0.2)
		cfg.MaxDelay = min(cfg.MaxDelay, time.Second)
		for i := range cfg.Faults {
			f := &cfg.Faults[i]
			f.At = min(f.At, 30*time.Second)
			f.For = min(f.For, 10*time.Second)
		}
		w := newWorld(cfg)
		if err := w.run(); err != nil {
			t.Fatal(err)
		}
		staying := 0
		for _, p := range w.live {
			if !p.ledger.leaving {
				staying++
			}
		}
		if len(w.store.Holders) != staying {
			t.Fatalf("%d instances stay, the row holds %+v", staying, w.store.Holders)
		}
		want := w.limits[len(w.limits)-1]
		if got := w.store.Granted()[worldLimit]; staying > 0 && got != want {
			t.Fatalf("granted %d of %d: %+v", got, want, w.store.Holders)
		}
	})
}

// A request that gives shares back makes the answers to earlier ones void,
// however late they come.
func TestAnAnswerToAnEarlierRequestIsIgnored(t *testing.T) {
	p := newPair(SafetyOverrides{})
	p.write(p.a.Heartbeat(p.now), p.b.Heartbeat(p.now))
	p.a.ObserveRow(p.now, p.row)
	p.b.ObserveRow(p.now, p.row)
	first := p.b.RequestLoan(p.now, keyA, worldLimit, 2)
	late := p.a.Lend(p.now, first)
	second := p.b.RequestLoan(p.now, keyA, worldLimit, 0)
	p.a.Lend(p.now, second)
	p.b.Heartbeat(p.now)
	p.b.RecordLoan(p.now, p.now, first, late)
	if got := p.a.Shares(p.now).Counts[worldLimit] + p.b.Shares(p.now).Counts[worldLimit]; got != 7 {
		t.Fatalf("usable shares are %d of 7", got)
	}
}

// caught reports whether one of n runs violates the limit under rules.
func caught(n int, rules SafetyOverrides) bool {
	gen := rapid.Custom(drawWorld)
	for seed := range n {
		cfg := gen.Example(seed)
		cfg.Rules = rules
		if newWorld(cfg).run() != nil {
			return true
		}
	}
	return false
}

func TestEachBrokenRuleIsCaught(t *testing.T) {
	for name, rules := range map[string]SafetyOverrides{
		"lent shares not subtracted":  {KeepLentShares: true},
		"loan counted from the reply": {StartLoanAtReply: true},
		"repeated loan added again":   {ApplyDuplicateLoans: true},
		"reclaim without consent":     {ReclaimWithoutConsent: true},
		"loans of the dead forgotten": {IgnoreLoansOfTerminated: true},
	} {
		if !caught(400, rules) {
			t.Errorf("%s: the property did not catch the broken rule", name)
		}
	}
}

// pair is a writer's row with holders whose ledgers see it when told to.
type pair struct {
	now  time.Time
	row  *Row
	a, b *Ledger
}

var (
	keyA = HolderKey{ID: "osrednja-1", Incarnation: "1"}
	keyB = HolderKey{ID: "osrednja-2", Incarnation: "1"}
	keyC = HolderKey{ID: "osrednja-3", Incarnation: "1"}
)

func newPair(rules SafetyOverrides) *pair {
	now := time.Unix(1000, 0)
	return &pair{
		now: now, row: &Row{},
		a: NewLedger(keyA, "a", worldTiming(), rules), b: NewLedger(keyB, "b", worldTiming(), rules),
	}
}

func (p *pair) write(hbs ...Heartbeat) {
	p.row = Plan(p.row, PlanInputs{TablesVersion: 1, Limits: Counts{worldLimit: 7}, Heartbeats: hbs})
}

// capCleared returns what two holders may use after a heartbeat that promised
// to come down was recorded late.
func capCleared(rules SafetyOverrides) int {
	p := newPair(rules)
	p.write(p.a.Heartbeat(p.now))
	p.a.ObserveRow(p.now, p.row)
	p.write(p.a.Heartbeat(p.now), p.b.Heartbeat(p.now))
	p.a.ObserveRow(p.now, p.row)
	late := p.a.Heartbeat(p.now)
	p.b.Leave()
	p.write(p.b.Heartbeat(p.now))
	p.a.ObserveRow(p.now, p.row)
	c := NewLedger(keyC, "c", worldTiming(), rules)
	p.write(late, c.Heartbeat(p.now))
	c.ObserveRow(p.now, p.row)
	return p.a.Shares(p.now).Counts[worldLimit] + c.Shares(p.now).Counts[worldLimit]
}

func TestPromiseToComeDownBindsUntilItIsRecorded(t *testing.T) {
	if got := capCleared(SafetyOverrides{}); got > 7 {
		t.Errorf("usable shares are %d of 7", got)
	}
	if got := capCleared(SafetyOverrides{IgnoreCommittedCaps: true}); got <= 7 {
		t.Errorf("the broken rule was not caught: %d of 7", got)
	}
}

// lateAnswer reports whether a holder that learnt of its renewal late still
// uses its shares once they may be reclaimed.
func lateAnswer(rules SafetyOverrides) bool {
	p := newPair(rules)
	p.write(p.a.Heartbeat(p.now), p.b.Heartbeat(p.now))
	c := NewReclaimer(keyB, worldTiming(), rules)
	c.ObserveRow(p.now, p.row)
	p.now = p.now.Add(9 * time.Second)
	p.a.ObserveRow(p.now, p.row)
	p.now = p.now.Add(2 * time.Second)
	w := NewWitness(keyB, worldTiming())
	for _, ask := range c.ConsentRequests(p.now, keyA) {
		if w.GrantConsent(p.now, ask) {
			c.RecordConsent(ask)
		}
	}
	return c.MayReclaim(p.now, keyA) && p.now.Before(p.a.Shares(p.now).Expires)
}

func TestLeaseCountsFromBeforeTheRenewalWasSent(t *testing.T) {
	if lateAnswer(SafetyOverrides{}) {
		t.Error("a share is usable when it may be reclaimed")
	}
	if !lateAnswer(SafetyOverrides{StartLeaseAtReply: true}) {
		t.Error("the broken rule was not caught")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version":2,"layout":1,"tables":1,"holders":[{"id":"a","incarnation":"1","grants":{"target/x":2},"witnesses":[{"id":"b","incarnation":"1"}]}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		row, err := Decode(value)
		if err != nil {
			return
		}
		now := time.Unix(1000, 0)
		g := NewLedger(keyA, "a", worldTiming(), SafetyOverrides{})
		g.ObserveRow(now, row)
		next := Plan(row, PlanInputs{TablesVersion: row.TablesVersion, Limits: Counts{worldLimit: 7}, Heartbeats: []Heartbeat{g.Heartbeat(now)}})
		if err := next.Validate(); err != nil {
			t.Fatal(err)
		}
	})
}

// consentThenEnd reports whether a holder still uses its shares after its only
// witness consented to their reclaim and ended.
func consentThenEnd(rules SafetyOverrides) bool {
	p := newPair(rules)
	p.write(p.a.Heartbeat(p.now), p.b.Heartbeat(p.now))
	p.a.ObserveRow(p.now, p.row)
	p.now = p.now.Add(15 * time.Second)
	p.a.ObserveWitnessTermination(p.now, keyB)
	return p.now.Before(p.a.Shares(p.now).Expires)
}

func TestAnEndedWitnessIsTrustedOnlyBeforeItMayHaveConsented(t *testing.T) {
	if consentThenEnd(SafetyOverrides{}) {
		t.Error("a holder relies on a witness that may have consented")
	}
	if !consentThenEnd(SafetyOverrides{TrustAnyTerminatedWitness: true}) {
		t.Error("the broken rule was not caught")
	}
	p := newPair(SafetyOverrides{})
	p.write(p.a.Heartbeat(p.now), p.b.Heartbeat(p.now))
	p.a.ObserveRow(p.now, p.row)
	p.a.ObserveWitnessTermination(p.now.Add(6*time.Second), keyB)
	if got, want := p.a.Expires(), p.now.Add(worldTiming().LongLease); got != want {
		t.Errorf("the lease ends at %v, not %v", got, want)
	}
}
