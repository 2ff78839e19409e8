package outcome

import (
	"container/heap"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// Limits holds the limits of a registry.
type Limits struct {
	// Validity is how long after IssuedAt an id may be used. Its record is kept
	// for the same time.
	Validity time.Duration
	// MaxSkew is how far IssuedAt may lie in the future.
	MaxSkew time.Duration
	// MaxRecords is the maximum number of records. No record is evicted before
	// its id has expired; at the limit, new requests are refused.
	MaxRecords int
	// MaxResponseBytes is the maximum total size of the recorded responses, with their
	// headers. The oldest responses are dropped first, but their records remain, so that
	// the requests are not run again.
	MaxResponseBytes int
}

// DefaultLimits returns the limits for normal operation.
func DefaultLimits() Limits {
	return Limits{Validity: 5 * time.Minute, MaxSkew: 30 * time.Second, MaxRecords: 50_000, MaxResponseBytes: 8 << 20}
}

// Action is what the instance must do with a submission.
type Action uint8

const (
	// Refuse means to refuse the submission with Decision.Kind.
	Refuse Action = iota
	// Run means to run the request: this is the first submission of its id. Finish
	// must be called when it ends.
	Run
	// Wait means that the first submission is still running: wait for its end, then
	// call Admit again.
	Wait
	// Replay means to send Decision.Response again.
	Replay
)

// Decision is the result of Admit.
type Decision struct {
	Action Action
	// Kind is the reason when Action is Refuse.
	Kind fault.Kind
	// Response is the recorded response when Action is Replay.
	Response *Response
}

// Response is a recorded response of a target.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
	Target string
	// Workspace is the name of the workspace whose request ran; empty without one.
	Workspace string
}

// fieldOverhead is the memory, in bytes, that a header field takes in addition to its
// text: a map entry and a slice.
const fieldOverhead = 128

// size returns the memory, in bytes, that the body and the header take.
func (r *Response) size() int {
	n := len(r.Body)
	for field, values := range r.Header {
		n += fieldOverhead + len(field)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Result is the result of the first submission of an id.
type Result struct {
	// Kind is fault.KindNone when the target responded.
	Kind fault.Kind
	// Response is the complete response, or nil when it was not recorded.
	Response *Response
}

// record is the state of one id.
type record struct {
	id      string
	expires time.Time
	running bool
	result  Result
	// heapIndex is the index of the record in Registry.byExpiry.
	heapIndex int
}

// Registry holds the records of the ids whose home instance is this incarnation.
// It is not safe for concurrent use.
type Registry struct {
	instance    string
	incarnation string
	limits      Limits
	records     map[string]*record
	byExpiry    expiryHeap
	// withResponse lists the records whose response is kept, oldest first.
	// responseBytes is the total size of these responses.
	withResponse  []*record
	responseBytes int
}

// NewRegistry returns the registry of one incarnation.
func NewRegistry(instance, incarnation string, l Limits) *Registry {
	return &Registry{instance: instance, incarnation: incarnation, limits: l, records: make(map[string]*record)}
}

// Owns reports whether this incarnation is the home instance of id. A request with
// any other id must never be run here.
func (g *Registry) Owns(id ID) bool {
	return id.Instance == g.instance && id.Incarnation == g.incarnation
}

// Len returns the number of records.
func (g *Registry) Len() int { return len(g.records) }

// Admit decides what to do with a submission of id at now. It creates a record when
// the action is Run. Successive calls must not pass an earlier time.
func (g *Registry) Admit(now time.Time, id ID) Decision {
	g.expire(now)
	if !g.Owns(id) {
		return Decision{Kind: fault.KindHomeGone}
	}
	key := id.String()
	if r, ok := g.records[key]; ok {
		return r.decision()
	}
	switch {
	case !now.Before(g.expiryOf(id)):
		return Decision{Kind: fault.KindHomeGone}
	case id.IssuedAt.After(now.Add(g.limits.MaxSkew)):
		return Decision{Kind: fault.KindBadRequestID}
	case len(g.records) >= g.limits.MaxRecords:
		return Decision{Kind: fault.KindOverloaded}
	}
	r := &record{id: key, expires: g.expiryOf(id), running: true}
	g.records[key] = r
	heap.Push(&g.byExpiry, r)
	return Decision{Action: Run}
}

// ProvablyNotRun reports whether this incarnation is the home instance of id and has
// certainly not run the request, so that the outcome "not run" may be reported.
func (g *Registry) ProvablyNotRun(now time.Time, id ID) bool {
	_, known := g.records[id.String()]
	return g.Owns(id) && !known && now.Before(g.expiryOf(id))
}

// expiryOf returns when id expires and its record may be removed.
func (g *Registry) expiryOf(id ID) time.Time { return id.IssuedAt.Add(g.limits.Validity) }

// decision returns the decision on a repeated submission.
func (r *record) decision() Decision {
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

// Finish records the result of the first submission of id. When the request was not
// run, the record is removed, so that a repeated submission may run.
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
	if res.Response != nil {
		g.storeResponse(r)
	}
	g.expire(now)
}

// storeResponse accounts for the response of r and drops the oldest responses while
// the total exceeds MaxResponseBytes.
func (g *Registry) storeResponse(r *record) {
	g.withResponse = append(g.withResponse, r)
	g.responseBytes += r.result.Response.size()
	for g.responseBytes > g.limits.MaxResponseBytes {
		oldest := g.withResponse[0]
		g.withResponse = g.withResponse[1:]
		g.dropResponse(oldest)
	}
}

// dropResponse removes the response of r, if it has one.
func (g *Registry) dropResponse(r *record) {
	if r.result.Response != nil {
		g.responseBytes -= r.result.Response.size()
		r.result.Response = nil
	}
}

// expire removes the records of expired ids. The expiry of a request that is still
// running is postponed by Validity.
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
	for len(g.withResponse) > 0 && g.withResponse[0].result.Response == nil {
		g.withResponse = g.withResponse[1:]
	}
}

// remove removes r and its response.
func (g *Registry) remove(r *record) {
	g.dropResponse(r)
	delete(g.records, r.id)
	heap.Remove(&g.byExpiry, r.heapIndex)
}

// expiryHeap is a min-heap of records by expiry. It implements heap.Interface.
type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	r := x.(*record)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}
