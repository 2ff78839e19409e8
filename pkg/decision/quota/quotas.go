package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/hashing"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Quotas keeps the limits of workspaces together with those of the other instances. It
// is not safe for concurrent use.
type Quotas struct {
	self   string
	random func() float64
	view   *View
	wallet *wallet
	owner  *owner
	epochs uint64 // begun so far
	tickAt time.Time
	// holderPaused is the time until which holders that have not answered are not asked.
	holderPaused map[string]time.Time
	// sweptAt is when sessions last lapsed and workspaces at rest were last forgotten.
	sweptAt time.Time
}

// Verdict is what becomes of a request.
type Verdict uint8

// The verdicts.
const (
	// Admit admits the request. It has used a token, if its workspace has a limit.
	Admit Verdict = iota
	// Wait tells the request to wait for the answer to an ask, at most AnswerTimeout.
	Wait
	// Refuse refuses the request.
	Refuse
)

// Reason is why a request was refused.
type Reason string

// The reasons.
const (
	// ReasonLimit: the owner has no tokens left.
	ReasonLimit Reason = "limit"
	// ReasonAnswer: the owner has not answered in time.
	ReasonAnswer Reason = "answer"
	// ReasonPart: the owner can't be reached and the own part is used up.
	ReasonPart Reason = "part"
	// ReasonOwner: the owner can't be reached, or is not known, and the instance may not
	// use its own part yet.
	ReasonOwner Reason = "owner"
)

// Decision is the decision on one request, with its inputs.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is the time until there is room, for a refused request.
	RetryAfter time.Duration
	Limit      Limit
	// Owner is the owner of the workspace, GrantAge the time since it was last asked
	// with success; below zero if it never was.
	Owner    string
	GrantAge time.Duration
	// epoch is that of the owner that has granted the used token; zero if none has.
	epoch uint64
}

// New returns the Quotas of the instance self, which has started at now. random returns
// a uniform number in [0, 1).
func New(now time.Time, self, incarnation string, random func() float64) *Quotas {
	q := &Quotas{self: self, random: random, wallet: newWallet(self, incarnation), tickAt: now, holderPaused: map[string]time.Time{}}
	q.owner = newOwner(self, now, q.newEpoch())
	return q
}

// newEpoch returns a number that differs from earlier ones, also from those of earlier
// processes.
func (q *Quotas) newEpoch() uint64 {
	q.epochs++
	return hashing.Mix(hashing.Name(q.wallet.incarnation), q.epochs)
}

// SetMembers replaces the members, which contain the instance itself.
func (q *Quotas) SetMembers(now time.Time, members []Member, complete bool) {
	if q.view != nil && q.view.isOf(members, complete) {
		return
	}
	v := NewView(q.self, members, complete)
	q.view = v
	q.owner.setView(now, v)
	q.wallet.setView(v)
}

// SetLimits takes the limits of the workspaces in tables.
func (q *Quotas) SetLimits(now time.Time, workspaces []table.Workspace) {
	limits := make(map[string]Limit, len(workspaces))
	for i := range workspaces {
		if w := &workspaces[i]; w.Rate > 0 {
			limits[w.Name] = Limit{Rate: w.Rate, Burst: w.Burst}
		}
	}
	if q.view != nil {
		q.owner.setLimits(now, limits)
	}
	q.owner.limits = limits
	q.wallet.setLimits(limits)
}

// Limited reports whether any workspace has a limit.
func (q *Quotas) Limited() bool { return len(q.owner.limits) > 0 }

// Active reports whether Asks must be called every few tens of ms.
func (q *Quotas) Active() bool { return len(q.wallet.links) > 0 || len(q.owner.buckets) > 0 }

// Request decides on a request of a workspace at its first attempt. waited is set if the
// request has waited for tokens before.
func (q *Quotas) Request(now time.Time, name string, waited bool) Decision {
	q.tick(now)
	e := q.wallet.entry(name, hashing.Name)
	if e == nil {
		if _, limited := q.owner.limits[name]; limited {
			return Decision{Verdict: Refuse, Reason: ReasonOwner, RetryAfter: q.jitter(maxPause)}
		}
		return Decision{Verdict: Admit}
	}
	if !waited {
		e.demand.observe(now, 1)
		e.usedAt = now
	}
	d := q.decide(now, name, e)
	d.Limit, d.Owner = e.limit, e.owner
	if l := q.wallet.links[e.owner]; l != nil && !l.validFrom.IsZero() {
		d.GrantAge = now.Sub(l.validFrom)
	} else if e.owner != q.self {
		d.GrantAge = -1
	}
	return d
}

func (q *Quotas) decide(now time.Time, name string, e *entry) Decision {
	switch {
	case !q.view.complete || e.owner == "":
		return q.refuse(ReasonOwner, maxPause)
	case e.owner == q.self:
		return q.decideAsOwner(now, name, e)
	}
	l := q.wallet.link(e.owner)
	l.use(now)
	switch {
	case l.usesPart(now):
		if e.takePart(now, q.view) {
			return Decision{Verdict: Admit}
		}
		return q.refuse(ReasonPart, e.partPause())
	case e.tokens > 0 && l.valid(now) && !l.closing:
		e.tokens--
		e.used++
		return Decision{Verdict: Admit, epoch: l.epoch}
	case e.disowned, l.failures > 1:
		return q.refuse(ReasonOwner, maxPause)
	case now.Before(e.pauseUntil):
		return q.refuse(ReasonLimit, e.pauseUntil.Sub(now))
	}
	return Decision{Verdict: Wait, Reason: ReasonAnswer, RetryAfter: q.jitter(maxPause)}
}

// decideAsOwner decides on a request of a workspace that the instance owns.
func (q *Quotas) decideAsOwner(now time.Time, name string, e *entry) Decision {
	b := q.owner.bucket(now, name, e.hash)
	if b == nil {
		return q.refuse(ReasonOwner, maxPause)
	}
	b.usedAt = now
	b.fill(now, q.owner)
	if b.level >= 1 {
		b.level--
		return Decision{Verdict: Admit, epoch: q.owner.epoch}
	}
	return q.refuse(ReasonLimit, b.pause())
}

func (q *Quotas) refuse(r Reason, after time.Duration) Decision {
	return Decision{Verdict: Refuse, Reason: r, RetryAfter: q.jitter(after)}
}

// jitter spreads the returns of callers that are refused together.
func (q *Quotas) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(max(d, minPause)) * (1 + q.random()))
}

// SetWaiting changes by n how many requests of a workspace wait.
func (q *Quotas) SetWaiting(name string, n int) {
	if e := q.wallet.entries[name]; e != nil {
		e.waiting = max(0, e.waiting+n)
	}
}

// Return gives back the token of a request that was admitted under d, and then not sent. One
// that the owner has forgotten, or that is of the instance's own part, is lost.
func (q *Quotas) Return(now time.Time, name string, d Decision) {
	e := q.wallet.entries[name]
	if e == nil || e.owner != d.Owner || e.limit != d.Limit || d.epoch == 0 {
		return
	}
	l := q.wallet.links[e.owner]
	switch {
	case e.owner == q.self:
		if b := q.owner.buckets[name]; b != nil && d.epoch == q.owner.epoch {
			b.level++
			b.fill(now, q.owner)
		}
	case l != nil && l.valid(now) && l.epoch == d.epoch && e.used > e.sent:
		// The owner has not been told that the token is used.
		e.used--
		e.tokens++
	}
}

// Outgoing is an ask to send to an owner.
type Outgoing struct {
	To  string
	Ask *Ask
}

// Status is the state of a workspace that the instance owns.
type Status struct {
	Workspace string
	Limit     Limit
	// Share is the part of the limit that the owner hands out: less than 1 while members
	// may be using their own parts. Tokens are those not granted yet.
	Share, Tokens float64
}

// Owned returns the state of the workspaces that the instance owns and that have been in
// use lately, sorted by name.
func (q *Quotas) Owned() []Status {
	var out []Status
	for _, name := range slices.Sorted(maps.Keys(q.owner.buckets)) {
		b := q.owner.buckets[name]
		out = append(out, Status{Workspace: name, Limit: b.limit, Share: b.share, Tokens: b.level})
	}
	return out
}

// Asks returns the asks that are due. Call it every few tens of ms while Active.
func (q *Quotas) Asks(now time.Time) []Outgoing {
	q.tick(now)
	var out []Outgoing
	if q.view == nil || !q.view.complete {
		return nil
	}
	for _, l := range q.wallet.byLastAsk() {
		if _, ok := q.view.byID[l.owner]; !ok && l.inFlight == nil {
			q.wallet.end(l)
			continue
		}
		if a := q.wallet.ask(now, l); a != nil {
			out = append(out, Outgoing{To: l.owner, Ask: a})
		}
	}
	return out
}

// Answered applies the answer to an ask; answer is nil if there was none in time. It
// returns the workspaces whose waiting requests should be decided on again.
func (q *Quotas) Answered(now time.Time, o Outgoing, answer *Answer) []string {
	l := q.wallet.links[o.To]
	if l == nil || l.inFlight != o.Ask {
		return nil
	}
	if answer == nil || now.Sub(l.sentAt) > AnswerTimeout {
		l.fail()
	} else {
		q.wallet.apply(now, l, answer, q.random)
	}
	var names []string
	for _, e := range q.wallet.list {
		if e.owner == o.To && e.waiting > 0 {
			names = append(names, e.name)
		}
	}
	return names
}

// Handle answers an ask of another instance.
func (q *Quotas) Handle(now time.Time, a *Ask) *Answer {
	q.tick(now)
	return q.owner.handle(now, a, hashing.Name)
}

// tick handles the passing of time. After a gap, as of a process that was frozen, the
// instance forgets what it has granted and what it holds.
func (q *Quotas) tick(now time.Time) {
	gap := now.Sub(q.tickAt)
	if gap <= 0 {
		return
	}
	q.tickAt = now
	if gap > maxTickGap {
		q.restart(now)
	}
	if now.Sub(q.sweptAt) < sweepInterval {
		return
	}
	q.sweptAt = now
	q.owner.sweep(now)
	q.wallet.forget(func(e *entry) bool { return e.waiting == 0 && now.Sub(e.usedAt) > forgetAfter })
}

// restart forgets what the instance has granted and what it holds.
func (q *Quotas) restart(now time.Time) {
	limits := q.owner.limits
	q.owner = newOwner(q.self, now, q.newEpoch())
	q.owner.limits = limits
	if q.view != nil {
		q.owner.setView(now, q.view)
	}
	for _, e := range q.wallet.list {
		e.tokens = 0
	}
}
