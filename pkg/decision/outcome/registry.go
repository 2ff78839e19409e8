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
	// MaxAnswerBytes bounds the bodies of all recorded answers. The oldest are
	// dropped first; the fact that the request ran is kept.
	MaxAnswerBytes int
}

// DefaultLimits returns the limits of an instance.
func DefaultLimits() Limits {
	return Limits{Validity: 5 * time.Minute, MaxSkew: 30 * time.Second, MaxRecords: 50_000, MaxAnswerBytes: 8 << 20}
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
	Join
	// Replay: give Verdict.Answer again.
	Replay
)

// Verdict is the answer to Admit.
type Verdict struct {
	Action Action
	// Kind is set with Refuse.
	Kind fault.Kind
	// Answer is set with Replay.
	Answer *Answer
}

// Answer is a recorded answer of a target.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	Target string
}

// Result is how the first submission ended.
type Result struct {
	// Kind is fault.KindNone when the target answered.
	Kind fault.Kind
	// Answer is the whole answer, or nil when it was not kept.
	Answer *Answer
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

// Names reports whether id names this incarnation. A request with any other
// id must never be run here.
func (g *Registry) Names(id ID) bool {
	return id.Instance == g.instance && id.Incarnation == g.incarnation
}

// Len returns the number of records.
func (g *Registry) Len() int { return len(g.records) }

// Admit decides on a submission of id at now. The time must never step back.
func (g *Registry) Admit(now time.Time, id ID) Verdict {
	g.expire(now)
	if !g.Names(id) {
		return Verdict{Kind: fault.KindHomeGone}
	}
	key := id.String()
	if r, ok := g.records[key]; ok {
		return r.verdict()
	}
	switch {
	case !now.Before(g.expiry(id)):
		return Verdict{Kind: fault.KindHomeGone}
	case id.Stamp.After(now.Add(g.limits.MaxSkew)):
		return Verdict{Kind: fault.KindBadRequestID}
	case len(g.records) >= g.limits.MaxRecords:
		return Verdict{Kind: fault.KindOverloaded}
	}
	r := &record{id: key, expires: g.expiry(id), running: true}
	g.records[key] = r
	heap.Push(&g.byExpiry, r)
	return Verdict{Action: Run}
}

// Fresh reports whether id names this incarnation and has certainly not been
// run, so that "not run" may be said of it.
func (g *Registry) Fresh(now time.Time, id ID) bool {
	_, known := g.records[id.String()]
	return g.Names(id) && !known && now.Before(g.expiry(id))
}

// expiry returns when the record of id may go.
func (g *Registry) expiry(id ID) time.Time { return id.Stamp.Add(g.limits.Validity) }

// verdict is the answer to a repeat.
func (r *record) verdict() Verdict {
	switch {
	case r.running:
		return Verdict{Action: Join}
	case r.result.Kind != fault.KindNone:
		return Verdict{Kind: r.result.Kind}
	case r.result.Answer == nil:
		return Verdict{Kind: fault.KindAnswerGone}
	}
	return Verdict{Action: Replay, Answer: r.result.Answer}
}

// Finish records how the first submission of id ended. One that was not run
// is forgotten, so that a repeat may run.
func (g *Registry) Finish(now time.Time, id ID, res Result) {
	r, ok := g.records[id.String()]
	if !ok || !r.running {
		return
	}
	r.running = false
	if res.Kind != fault.KindNone && res.Kind.Info().Outcome == fault.OutcomeNotRun {
		g.remove(r)
		return
	}
	r.result = res
	if res.Answer != nil {
		g.keep(r)
	}
	g.expire(now)
}

// keep counts the answer of r and drops the oldest answers beyond the limit.
func (g *Registry) keep(r *record) {
	g.kept = append(g.kept, r)
	g.bytes += len(r.result.Answer.Body)
	for g.bytes > g.limits.MaxAnswerBytes {
		oldest := g.kept[0]
		g.kept = g.kept[1:]
		g.drop(oldest)
	}
}

// drop forgets the answer of r.
func (g *Registry) drop(r *record) {
	if r.result.Answer != nil {
		g.bytes -= len(r.result.Answer.Body)
		r.result.Answer = nil
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
	for len(g.kept) > 0 && g.kept[0].result.Answer == nil {
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
