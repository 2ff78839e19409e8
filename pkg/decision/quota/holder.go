package quota

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/hashing"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// Admission is what an instance asks the holder of its region: to admit one request of a
// workspace, with a token that the holder has.
type Admission struct {
	Workspace string `json:"n"`
}

// AdmissionReply is the answer of a holder: Admit, or Wait if the asking instance has to
// decide itself.
type AdmissionReply struct {
	Verdict Verdict `json:"v"`
}

// Validate checks the bounds of a question. Error: fault.KindBadRequest.
func (a *Admission) Validate() error {
	if a.Workspace == "" || len(a.Workspace) > maxName {
		return fault.New(fault.KindBadRequest, "invalid request to admit one of workspace %.40q", a.Workspace)
	}
	return nil
}

// Validate checks an answer. Error: fault.KindBadRequest.
func (a *AdmissionReply) Validate() error {
	if a.Verdict != Admit && a.Verdict != Wait {
		return fault.New(fault.KindBadRequest, "invalid admission: verdict %d", a.Verdict)
	}
	return nil
}

// Holder returns the instance to ask for the admission of a request of a workspace, at its
// first attempt. It returns false if the instance decides itself, by Request. After an
// answer other than Admit, and without one, the instance calls Request with waited set.
func (q *Quotas) Holder(now time.Time, name string) (id string, ok bool) {
	q.tick(now)
	e := q.wallet.entry(name, hashing.Name)
	if e == nil || !q.view.complete || e.owner == q.self || e.tokens > 0 || !e.pooled(now, q.self) || now.Before(q.holderPaused[e.holder]) {
		return "", false
	}
	e.demand.observe(now, 1)
	e.usedAt = now
	return e.holder, true
}

// HolderFailed records that a holder has not answered in time.
func (q *Quotas) HolderFailed(now time.Time, id string) {
	if len(q.holderPaused) >= maxHolders+maxOwners {
		clear(q.holderPaused)
	}
	q.holderPaused[id] = now.Add(holderPause)
}

// AdmitFor decides on a request of another instance of the region.
func (q *Quotas) AdmitFor(now time.Time, a *Admission) *AdmissionReply {
	if _, limited := q.owner.limits[a.Workspace]; !limited {
		// The tables of the two instances differ.
		return &AdmissionReply{Verdict: Wait}
	}
	if d := q.Request(now, a.Workspace, false); d.Verdict == Admit {
		return &AdmissionReply{Verdict: Admit}
	}
	// The owner may have tokens for the other instance, or be in reach of it alone.
	return &AdmissionReply{Verdict: Wait}
}

// Held returns the decision that follows from the answer of a holder. It returns false if
// the instance decides itself. Such a token can't be given back: it is not known here.
func (q *Quotas) Held(name string, a *AdmissionReply) (d Decision, ok bool) {
	e := q.wallet.entries[name]
	if e == nil || a.Verdict != Admit {
		return Decision{}, false
	}
	return Decision{Verdict: Admit, Limit: e.limit, Owner: e.owner, GrantAge: -1}, true
}
