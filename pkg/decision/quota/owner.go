package quota

import (
	"math"
	"time"
)

// owner is the side of an instance that grants tokens.
type owner struct {
	self     string
	epoch    uint64
	view     *View
	limits   map[string]Limit
	buckets  map[string]*bucket
	sessions map[string]*session
	// settledAt is when members that are not in touch begin to count as idle, for
	// workspaces that the instance does not own yet.
	settledAt time.Time
}

// bucket holds the tokens of one workspace that are not granted yet.
type bucket struct {
	hash      uint64
	limit     Limit
	weights   weights
	share     float64 // of the limit, as of sharedAt
	sharedAt  time.Time
	level     float64
	filledAt  time.Time
	settledAt time.Time
	// outstanding tokens are granted, and neither reported as used nor lapsed.
	outstanding int
	// asks are the asks for tokens of the workspace.
	asks   demand
	usedAt time.Time
}

// session is what an owner knows about a member that has asked for tokens.
type session struct {
	incarnation string
	seq         uint64
	lastAt      time.Time // arrival of the last ask
	ackedAt     time.Time // arrival of the last ask whose answer was acknowledged
	lines       map[string]*line
	lapsed      bool
}

// line is the part of a session about one workspace.
type line struct {
	used    uint64
	held    int // granted and not reported as used
	pending int // granted in the answer to the last ask
}

func newOwner(self string, now time.Time, epoch uint64) *owner {
	return &owner{self: self, epoch: epoch, buckets: map[string]*bucket{}, sessions: map[string]*session{}, settledAt: now.Add(settleAfter)}
}

// setView replaces the view. Buckets of workspaces that the instance does not own any
// longer are dropped.
func (o *owner) setView(now time.Time, v *View) {
	changed := o.view == nil || !sameOwners(o.view, v)
	o.view = v
	for id := range o.sessions {
		if _, ok := v.byID[id]; !ok {
			o.drop(id)
		}
	}
	if changed {
		o.settledAt = now.Add(settleAfter)
	}
	for name, b := range o.buckets {
		if v.owner(b.hash) != o.self {
			delete(o.buckets, name)
			continue
		}
		b.fill(now, o)
		b.weights = v.weights(b.hash, b.limit)
		b.sharedAt = time.Time{}
	}
}

// sameOwners reports whether a and b choose the same owners.
func sameOwners(a, b *View) bool {
	if len(a.owners) != len(b.owners) || a.complete != b.complete {
		return false
	}
	for i := range a.owners {
		if a.owners[i].ID != b.owners[i].ID || a.owners[i].Incarnation != b.owners[i].Incarnation {
			return false
		}
	}
	return true
}

// setLimits replaces the limits. A lower one is in force at once.
func (o *owner) setLimits(now time.Time, limits map[string]Limit) {
	o.limits = limits
	for name, b := range o.buckets {
		l, ok := limits[name]
		if !ok {
			delete(o.buckets, name)
			continue
		}
		if l != b.limit {
			b.fill(now, o)
			b.limit, b.weights, b.sharedAt = l, o.view.weights(b.hash, l), time.Time{}
			b.fill(now, o)
		}
	}
}

// bucket returns the bucket of a workspace that the instance owns, or nil. A bucket is
// full at first, unless tokens that another owner has granted may have been used within
// the last Window.
func (o *owner) bucket(now time.Time, name string, hash uint64) *bucket {
	l, ok := o.limits[name]
	if !ok || o.view == nil || !o.view.complete || o.view.owner(hash) != o.self {
		return nil
	}
	b := o.buckets[name]
	if b == nil {
		b = o.newBucket(now, hash, l)
		o.buckets[name] = b
	}
	return b
}

// newBucket returns the bucket of a workspace that has not been in use lately.
func (o *owner) newBucket(now time.Time, hash uint64, l Limit) *bucket {
	b := &bucket{hash: hash, limit: l, weights: o.view.weights(hash, l), filledAt: now, settledAt: o.settledAt, usedAt: now}
	b.updateShare(now, o)
	if !now.Before(b.settledAt) {
		b.level = l.capacity() * b.share
	}
	return b
}

// shareAge is how long a computed share of a limit is used.
const shareAge = 50 * time.Millisecond

// updateShare recomputes the share of the limit that the owner hands out: the weights of
// the members that can't be using their own parts.
func (b *bucket) updateShare(now time.Time, o *owner) {
	if now.Sub(b.sharedAt) < shareAge {
		return
	}
	b.sharedAt = now
	share := 0.0
	for i := range o.view.members {
		m := &o.view.members[i]
		if w := b.weights.of(m.ID); w > 0 && o.counts(now, m, !now.Before(b.settledAt)) {
			share += w
		}
	}
	b.share = math.Min(share, 1)
}

// counts reports whether the weight of m belongs to this owner: m is in touch, or has
// nothing that it could use. Unsettled owners can't tell the second.
func (o *owner) counts(now time.Time, m *viewMember, settled bool) bool {
	if m.ID == o.self {
		return true
	}
	s := o.sessions[m.ID]
	if s == nil || s.incarnation < m.Incarnation || s.ackedAt.IsZero() {
		return settled && !m.Silent
	}
	return now.Sub(s.ackedAt) < ownerLease
}

// fill adds the tokens since the last fill and bounds the level, so that unused tokens
// never exceed the capacity.
func (b *bucket) fill(now time.Time, o *owner) {
	before := b.share
	b.updateShare(now, o)
	if dt := now.Sub(b.filledAt); dt > 0 {
		b.level += b.limit.Rate * math.Min(before, b.share) * dt.Seconds()
		b.filledAt = now
	}
	b.level = max(0, min(b.level, b.limit.capacity()*b.share-float64(b.outstanding)))
}

// handle answers an ask.
func (o *owner) handle(now time.Time, a *Ask, hashOf func(string) uint64) *Answer {
	s := o.session(now, a)
	answer := &Answer{Epoch: o.epoch}
	if s == nil {
		return answer
	}
	for i := range a.Lines {
		answer.Lines = append(answer.Lines, o.handleLine(now, s, &a.Lines[i], hashOf(a.Lines[i].Name)))
	}
	if a.Close {
		o.drop(a.From)
	}
	return answer
}

// session returns the session of the sender of a, or nil if a is not newer than its last
// ask. Tokens granted in an answer that did not arrive are taken back.
func (o *owner) session(now time.Time, a *Ask) *session {
	s := o.sessions[a.From]
	if s == nil || s.incarnation < a.Incarnation {
		o.drop(a.From)
		s = &session{incarnation: a.Incarnation, lines: map[string]*line{}}
		o.sessions[a.From] = s
	}
	if a.Seq <= s.seq || a.Incarnation < s.incarnation {
		return nil
	}
	acked := s.seq != 0 && a.Seen == s.seq
	for name, l := range s.lines {
		if !acked {
			o.takeBack(name, l, l.pending)
		}
		l.pending = 0
	}
	if acked {
		s.ackedAt, s.lapsed = s.lastAt, false
	}
	s.seq, s.lastAt = a.Seq, now
	return s
}

// takeBack returns up to n unused tokens of l to the bucket.
func (o *owner) takeBack(name string, l *line, n int) {
	n = max(0, min(n, l.held))
	l.held -= n
	if b := o.buckets[name]; b != nil {
		n = min(n, b.outstanding)
		b.outstanding -= n
		b.level += float64(n)
	}
}

// settle counts n tokens of l as used.
func (o *owner) settle(name string, l *line, n int) {
	n = max(0, min(n, l.held))
	l.held -= n
	if b := o.buckets[name]; b != nil {
		b.outstanding -= min(n, b.outstanding)
	}
}

// drop ends the session of a member. What it holds counts as used.
func (o *owner) drop(id string) {
	if s := o.sessions[id]; s != nil {
		o.lapse(s)
		delete(o.sessions, id)
	}
}

// lapse counts all that a session holds as used.
func (o *owner) lapse(s *session) {
	for name, l := range s.lines {
		o.settle(name, l, l.held)
		l.pending = 0
	}
	s.lapsed = true
}

// handleLine answers the part of an ask about one workspace.
func (o *owner) handleLine(now time.Time, s *session, q *AskLine, hash uint64) AnswerLine {
	b := o.bucket(now, q.Name, hash)
	if b == nil {
		delete(s.lines, q.Name)
		return AnswerLine{Name: q.Name, NotOwner: true}
	}
	l := s.lines[q.Name]
	if l == nil {
		l = &line{used: q.Used}
		s.lines[q.Name] = l
	}
	if q.Used < l.used {
		o.settle(q.Name, l, l.held)
	} else {
		o.settle(q.Name, l, int(min(q.Used-l.used, maxCount)))
	}
	l.used = q.Used
	b.fill(now, o)
	o.takeBack(q.Name, l, l.held-q.Have)
	granted, pause := b.grant(now, q)
	l.held += granted
	l.pending = granted
	return AnswerLine{Name: q.Name, Granted: granted, PauseMS: pause.Milliseconds()}
}

// grant takes tokens for q out of the bucket: those needed, and those wanted up to a fair
// part of the rate, or more while enough are left for the needs of others. It returns the
// time until there is room if not all needed ones are granted.
func (b *bucket) grant(now time.Time, q *AskLine) (granted int, pause time.Duration) {
	b.usedAt = now
	full := b.limit.capacity()
	granted = min(q.Need, int(b.level))
	if q.Need > granted {
		pause = b.pause()
	}
	b.asks.observe(now, 1)
	left := b.level - float64(granted)
	fair := b.limit.Rate*b.share/b.asks.value(now) - float64(granted)
	granted += min(q.Want, int(max(0, left-waitersReserve*full, min(left, fair))))
	if granted == 0 && q.Stand > 0 && left > standingReserve*full {
		granted = 1
	}
	b.level -= float64(granted)
	b.outstanding += granted
	return granted, pause
}

// pause returns the time until a quarter of the burst, or at least a token, is there again.
func (b *bucket) pause() time.Duration {
	rate := b.limit.Rate * b.share
	if rate <= 0 {
		return maxPause
	}
	quarter := (b.limit.capacity() - spareTokens) * b.share / (4 * rate)
	return max(minPause, min(maxPause, max(seconds(quarter), seconds((1-b.level)/rate))))
}

// sweep lets sessions lapse and forgets workspaces at rest.
func (o *owner) sweep(now time.Time) {
	for id, s := range o.sessions {
		if !s.lapsed && now.Sub(s.ackedAt) >= ownerLease && now.Sub(s.lastAt) >= ownerLease {
			o.lapse(s)
		}
		if _, ok := o.view.member(id); !ok && now.Sub(s.lastAt) > forgetAfter {
			o.drop(id)
		}
	}
	for name, b := range o.buckets {
		if now.Sub(b.usedAt) > forgetAfter {
			delete(o.buckets, name)
			for _, s := range o.sessions {
				delete(s.lines, name)
			}
		}
	}
}
