package outcome

import (
	"container/heap"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// Limits bounds a registry.
type Limits struct {
	// Validity is how long after its stamp an id may be used. Records are kept
	// as long.
	Validity time.Duration
	// MaxSkew is how far in the future a stamp may lie.
	MaxSkew time.Duration
	// MaxRecords bounds the records. A record is never dropped before its id
	// has expired; when there is no room, new requests are refused.
	MaxRecords int
	// MaxResponseBytes bounds the bodies of all recorded answers. The oldest are
	// dropped first; the fact that the request ran is kept.
	MaxResponseBytes int
}

// DefaultLimits returns the limits of an instance.
func DefaultLimits() Limits {
	return Limits{Validity: 5 * time.Minute, MaxSkew: 30 * time.Second, MaxRecords: 50_000, MaxResponseBytes: 8 << 20}
}

// Action says what to do with a submission.
type Action uint8

// The actions.
const (
	// Refuse: answer with Verdict.Kind.
	Refuse Action = iota
	// Run: this is the first submission; Finish must follow.
	Run
	// Join: the first submission is running; wait for its end.
	Wait
	// Replay: give Verdict.Answer again.
	Replay
)

// Decision is the answer to Admit.
type Decision struct {
	Action Action
	// Kind is set with Refuse.
	Kind fault.Kind
	// Response is set with Replay.
	Response *Response
}

// Response is a recorded answer of a target.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
	Target string
}

// Result is how the first submission ended.
type Result struct {
	// Kind is fault.KindNone when the target answered.
	Kind fault.Kind
	// Response is the whole answer, or nil when it was not kept.
	Response *Response
}

// record is what is known about one id.
type record struct {
	id      string
	expires time.Time
	running bool
	result  Result
	// index is the place in the heap.
	index int
}

// Registry holds the records of the ids that name this incarnation.
type Registry struct {
	instance    string
	incarnation string
	limits      Limits
	records     map[string]*record
	byExpiry    expiryHeap
	// kept are the records with an answer, the oldest first.
	kept  []*record
	bytes int
}

// NewRegistry returns the registry of one incarnation.
func NewRegistry(instance, incarnation string, l Limits) *Registry {
	return &Registry{instance: instance, incarnation: incarnation, limits: l, records: make(map[string]*record)}
}

// Owns reports whether id names this incarnation. A request with any other
// id must never be run here.
func (g *Registry) Owns(id ID) bool {
	return id.Instance == g.instance && id.Incarnation == g.incarnation
}

// Len returns the number of records.
func (g *Registry) Len() int { return len(g.records) }

// Admit decides on a submission of id at now. The time must never step back.
func (g *Registry) Admit(now time.Time, id ID) Decision {
	g.expire(now)
	if !g.Owns(id) {
		return Decision{Kind: fault.KindHomeGone}
	}
	key := id.String()
	if r, ok := g.records[key]; ok {
		return r.verdict()
	}
	switch {
	case !now.Before(g.expiry(id)):
		return Decision{Kind: fault.KindHomeGone}
	case id.IssuedAt.After(now.Add(g.limits.MaxSkew)):
		return Decision{Kind: fault.KindBadRequestID}
	case len(g.records) >= g.limits.MaxRecords:
		return Decision{Kind: fault.KindOverloaded}
	}
	r := &record{id: key, expires: g.expiry(id), running: true}
	g.records[key] = r
	heap.Push(&g.byExpiry, r)
	return Decision{Action: Run}
}

// ProvablyNotRun reports whether id names this incarnation and has certainly not been
// run, so that "not run" may be said of it.
func (g *Registry) ProvablyNotRun(now time.Time, id ID) bool {
	_, known := g.records[id.String()]
	return g.Owns(id) && !known && now.Before(g.expiry(id))
}

// expiry returns when the record of id may go.
func (g *Registry) expiry(id ID) time.Time { return id.IssuedAt.Add(g.limits.Validity) }

// verdict is the answer to a repeat.
func (r *record) verdict() Decision {
	switch {
	case r.running:
		return Decision{Action: Wait}
	case r.result.Kind != fault.KindNone:
		return Decision{Kind: r.result.Kind}
	case r.result.Response == nil:
		return Decision{Kind: fault.KindAnswerGone}
	}
	return Decision{Action: Replay, Response: r.result.Response}
}

// Finish records how the first submission of id ended. One that was not run
// is forgotten, so that a repeat may run.
func (g *Registry) Finish(now time.Time, id ID, res Result) {
	r, ok := g.records[id.String()]
	if !ok || !r.running {
		return
	}
	r.running = false
	if res.Kind != fault.KindNone && res.Kind.Answer().Outcome == fault.NotRun {
		g.remove(r)
		return
	}
	r.result = res
	if res.Response != nil {
		g.keep(r)
	}
	g.expire(now)
}

// keep counts the answer of r and drops the oldest answers beyond the limit.
func (g *Registry) keep(r *record) {
	g.kept = append(g.kept, r)
	g.bytes += len(r.result.Response.Body)
	for g.bytes > g.limits.MaxResponseBytes {
		oldest := g.kept[0]
		g.kept = g.kept[1:]
		g.drop(oldest)
	}
}

// drop forgets the answer of r.
func (g *Registry) drop(r *record) {
	if r.result.Response != nil {
		g.bytes -= len(r.result.Response.Body)
		r.result.Response = nil
	}
}

// expire removes the records of expired ids, but none that is running.
func (g *Registry) expire(now time.Time) {
	for len(g.byExpiry) > 0 {
		r := g.byExpiry[0]
		if now.Before(r.expires) {
			break
		}
		if r.running {
			r.expires = now.Add(g.limits.Validity)
			heap.Fix(&g.byExpiry, 0)
			continue
		}
		g.remove(r)
	}
	for len(g.kept) > 0 && g.kept[0].result.Response == nil {
		g.kept = g.kept[1:]
	}
}

func (g *Registry) remove(r *record) {
	g.drop(r)
	delete(g.records, r.id)
	heap.Remove(&g.byExpiry, r.index)
}

// expiryHeap orders records by expiry.
type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	r := x.(*record)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}
