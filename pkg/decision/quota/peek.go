package quota

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/hashing"
)

// Known is what an instance knows about the quota of a workspace.
type Known struct {
	// Decision is what Request would return, except that RetryAfter has no random part. With
	// Wait the owner is asked first.
	Decision
	// Own is set if the instance owns the workspace.
	Own bool
	// Share is the part of the limit that the owner hands out, valid if Own is set.
	Share float64
	// Tokens are those that requests at this instance can use at once.
	Tokens float64
}

// Peek returns what is known about the quota of a workspace, as a request would find it. It
// changes nothing. limited is false if the workspace has no limit.
func (q *Quotas) Peek(now time.Time, name string) (k Known, limited bool) {
	limit, limited := q.owner.limits[name]
	if !limited {
		return Known{}, false
	}
	k.Limit, k.GrantAge = limit, -1
	if q.view == nil || !q.view.complete {
		return k.refused(ReasonOwner, maxPause), true
	}
	k.Owner = q.view.owner(hashing.Name(name))
	k.Own = k.Owner == q.self
	switch {
	case k.Owner == "":
		return k.refused(ReasonOwner, maxPause), true
	case k.Own:
		return q.peekOwned(now, name, k), true
	}
	return q.peekWallet(now, name, k), true
}

// refused returns k with a refusal.
func (k Known) refused(r Reason, after time.Duration) Known {
	k.Verdict, k.Reason, k.RetryAfter = Refuse, r, max(after, minPause)
	return k
}

// peekOwned is Peek for a workspace of the instance.
func (q *Quotas) peekOwned(now time.Time, name string, k Known) Known {
	known := q.owner.buckets[name]
	if known == nil {
		known = q.owner.newBucket(now, hashing.Name(name), k.Limit)
	}
	b := *known
	b.fill(now, q.owner)
	k.Share, k.Tokens, k.GrantAge = b.share, b.level, 0
	if b.level < 1 {
		return k.refused(ReasonLimit, b.pause())
	}
	return k
}

// peekWallet is Peek for a workspace of another instance.
func (q *Quotas) peekWallet(now time.Time, name string, k Known) Known {
	e, l := entry{hash: hashing.Name(name), limit: k.Limit}, link{}
	if known := q.wallet.entries[name]; known != nil {
		e = *known
	}
	if known := q.wallet.links[k.Owner]; known != nil {
		l = *known
		l.use(now)
	}
	if !l.validFrom.IsZero() {
		k.GrantAge = now.Sub(l.validFrom)
	}
	switch {
	case l.usesPart(now):
		if !e.takePart(now, q.view) {
			return k.refused(ReasonPart, e.partPause())
		}
		k.Tokens = e.part.level + 1
	case e.tokens > 0 && l.valid(now) && !l.closing:
		k.Tokens = float64(e.tokens)
	case e.disowned, l.failures > 1:
		return k.refused(ReasonOwner, maxPause)
	case now.Before(e.pauseUntil):
		return k.refused(ReasonLimit, e.pauseUntil.Sub(now))
	default:
		k.Verdict, k.Reason = Wait, ReasonAnswer
	}
	return k
}
