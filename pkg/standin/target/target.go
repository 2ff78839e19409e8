package target

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/standin/exchange"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// Target is one target stand-in. It is safe for concurrent use.
type Target struct {
	config   Config
	recorder *Recorder
	wg       conc.WaitGroup

	mu          sync.Mutex
	faults      Faults
	stats       Stats
	incarnation string
	process     *process
	report      cachedReport
	leavingAt   time.Time
	// backoffUntil is the time until which the target refuses requests.
	backoffUntil time.Time
	// rateLimit is the announced limit in requests per second; negative without one.
	rateLimit float64
	closed    bool
}

// Stats holds the counters of a target, over all its processes.
type Stats struct {
	Name string `json:"name"`
	// Running and Queued are the current numbers of running and queued requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Runs counts the requests that began to run, Completed those whose complete
	// response was written.
	Runs      int `json:"runs"`
	Completed int `json:"completed"`
	// Shed counts the requests that were refused without being run, Cancelled the
	// runs whose caller disconnected or whose deadline passed.
	Shed      int `json:"shed"`
	Cancelled int `json:"cancelled"`
	// Crashes counts the crashes, AbortedRuns the runs that a crash aborted.
	Crashes     int `json:"crashes"`
	AbortedRuns int `json:"cut_off"`
	// Workspaces counts the runs by the workspace that the request named, which is empty
	// without one, and WithKey the runs whose request still had a caller's key.
	Workspaces map[string]int `json:"workspaces,omitempty"`
	WithKey    int            `json:"with_key"`
	// PeakRequests is the largest number of running and queued requests at once.
	PeakRequests int `json:"peak"`
	// Leaving is set when the target starts to leave and cleared when it is started
	// again.
	Leaving bool `json:"leaving"`
	// RunsAfterLeaving counts the runs that began after the target started to leave.
	RunsAfterLeaving int `json:"runs_after_sign"`
	// LastRunAfterLeavingMS is the time from then to the beginning of the last run,
	// IdleAfterLeavingMS the time from then to the end of the last run, both in
	// milliseconds.
	LastRunAfterLeavingMS int64 `json:"last_run_after_sign_ms"`
	IdleAfterLeavingMS    int64 `json:"idle_after_sign_ms"`
}

// New returns a target with the configuration c, not yet started. It records
// its runs in rec.
func New(c Config, rec *Recorder) *Target {
	c = c.withDefaults()
	return &Target{config: c, recorder: rec, faults: c.Faults, stats: Stats{Name: c.Name, Workspaces: map[string]int{}}, rateLimit: noRateLimit}
}

// Faults returns the faults that are switched on.
func (t *Target) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Stats returns the counters.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Workspaces = maps.Clone(s.Workspaces)
	return s
}

// recordWorkspace counts what the request of a run says about its caller.
func (t *Target) recordWorkspace(h http.Header) {
	t.updateStats(func(s *Stats) {
		s.Workspaces[h.Get(wire.HeaderWorkspace)]++
		if len(h[wire.HeaderAuthorization]) > 0 {
			s.WithKey++
		}
	})
}

// Address returns the address on which the target listens after its first start.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.config.Address
}

// noRateLimit is the value of Target.rateLimit without a limit.
const noRateLimit = -1

// newIncarnation returns a unique id for one process of a target.
func newIncarnation() string { return uuid.NewString() }

// serve handles one request to the process p.
func (t *Target) serve(p *process, w http.ResponseWriter, r *http.Request) {
	ctx, cancel := requestContext(r)
	defer cancel()
	rec, err := exchange.ReadRequest(r)
	if err != nil {
		t.shed(w, http.StatusBadRequest)
		return
	}
	rec.Target = t.config.Name
	if t.setRetryAfter(w) {
		t.shed(w, http.StatusServiceUnavailable)
		return
	}
	if !t.admit(ctx, p) {
		t.shed(w, http.StatusServiceUnavailable)
		return
	}
	t.recorder.record(rec.Nonce, r.Header.Get(exchange.HeaderNonIdempotent) == "true")
	t.recordWorkspace(r.Header)
	endRun := sync.OnceFunc(func() { t.releaseSlot(p) })
	defer endRun()
	if r.Header.Get(exchange.HeaderCrash) == "true" {
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	t.execute(ctx, p, w, r, rec, endRun)
}

// requestContext returns a context that ends with the request or at its deadline.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(wire.HeaderDeadlineMS), 10, 64)
	if err != nil || ms < 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// shed refuses a request that has not run, with the given status.
func (t *Target) shed(w http.ResponseWriter, status int) {
	t.mu.Lock()
	t.stats.Shed++
	t.mu.Unlock()
	t.setTargetHeaders(w)
	w.Header().Set(wire.HeaderTargetShed, "true")
	w.WriteHeader(status)
}

// admit queues a request and waits for a slot. It reports false if the request
// must be shed: the queue is full, the fault Shed is set, DrainGrace has passed, or
// ctx ended or the target crashed during the wait.
func (t *Target) admit(ctx context.Context, p *process) bool {
	if !t.enqueue() {
		return false
	}
	select {
	case p.slots <- struct{}{}:
	default:
		select {
		case p.slots <- struct{}{}:
		case <-ctx.Done():
			t.dequeue()
			return false
		case <-p.crashed:
			t.dequeue()
			return false
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Queued--
	t.stats.Running++
	t.stats.Runs++
	if t.stats.Leaving {
		t.stats.RunsAfterLeaving++
		t.stats.LastRunAfterLeavingMS = time.Since(t.leavingAt).Milliseconds()
	}
	return true
}

// enqueue counts a request as queued. It reports false if the target accepts no more
// requests.
func (t *Target) enqueue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	inFlight := t.stats.Running + t.stats.Queued
	graceExpired := t.stats.Leaving && time.Since(t.leavingAt) >= t.config.DrainGrace.Std()
	if t.faults.Shed || graceExpired || inFlight >= t.config.Slots+*t.config.Queue {
		return false
	}
	t.stats.Queued++
	t.stats.PeakRequests = max(t.stats.PeakRequests, inFlight+1)
	return true
}

func (t *Target) dequeue() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Queued--
}

// releaseSlot returns the slot of a run that has ended.
func (t *Target) releaseSlot(p *process) {
	<-p.slots
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Running--
	if t.stats.Leaving {
		t.stats.IdleAfterLeavingMS = time.Since(t.leavingAt).Milliseconds()
	}
}

// execute runs an admitted request and writes its response. It calls endRun before
// the response is complete: an instance that has the complete response may send the
// next request at once, and that one must not count as concurrent with this one.
func (t *Target) execute(ctx context.Context, p *process, w http.ResponseWriter, r *http.Request, rec exchange.ReceivedRequest, endRun func()) {
	f := t.Faults()
	if f.IgnoreCancel {
		ctx = context.WithoutCancel(ctx)
	}
	completed := t.simulateWork(ctx, p, f)
	t.setTargetHeaders(w)
	if !completed {
		t.updateStats(func(s *Stats) { s.Cancelled++ })
		w.Header().Set(exchange.HeaderNonce, rec.Nonce)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if f.Malformed != MalformedNone {
		writeMalformed(w, f, rec, endRun)
		return
	}
	holder := &lastByteHolder{ResponseWriter: w}
	err := exchange.WriteResponse(holder, rec)
	endRun()
	if err == nil {
		err = holder.finish()
	}
	if err == nil && r.Context().Err() == nil {
		t.updateStats(func(s *Stats) { s.Completed++ })
	}
}

// simulateWork waits for the service time. It reports false if ctx ends first, and
// aborts the connection if the target crashes first.
func (t *Target) simulateWork(ctx context.Context, p *process, f Faults) bool {
	timer := time.NewTimer(p.times.sample() + f.Delay.Std())
	defer timer.Stop()
	done := timer.C
	if f.Hang {
		done = nil
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-p.crashed:
		t.updateStats(func(s *Stats) { s.AbortedRuns++ })
		panic(http.ErrAbortHandler)
	}
}

// updateStats applies edit to the counters.
func (t *Target) updateStats(edit func(*Stats)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	edit(&t.stats)
}
