package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// orderID returns a request id whose home is inst, made by a caller from the prefix in
// inst's lookup response.
func orderID(t *testing.T, inst *testInstance, suffix string) string {
	t.Helper()
	_, body := get(t, inst.url()+wire.PathLookup+"?route=feedlog")
	var a wire.LookupAnswer
	if err := json.Unmarshal([]byte(body), &a); err != nil {
		t.Fatal(err)
	}
	for _, in := range a.Instances {
		if in.ID == inst.self.ID {
			return in.IDPrefix + suffix
		}
	}
	t.Fatalf("the lookup response of %s does not name it", inst.self.ID)
	return ""
}

// submitOrder submits a non-idempotent request with the given id to inst.
func submitOrder(ctx context.Context, inst *testInstance, id string) (*http.Response, string, error) {
	r, err := http.NewRequestWithContext(ctx, "POST", inst.url()+"/feedlog/orders", strings.NewReader("tiles"))
	if err != nil {
		return nil, "", err
	}
	r.Header.Set(wire.HeaderRequestID, id)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// startPair runs two instances of one zone with a target that serves h.
func startPair(t *testing.T, h http.HandlerFunc) (a, b *testInstance) {
	t.Helper()
	tables := oneTarget(startTarget(t, h), "osrednja-a")
	a, b = startInstance(t, "a-1", "osrednja-a"), startInstance(t, "a-2", "osrednja-a")
	a.run(t, tables, a.self, b.self)
	b.run(t, tables, a.self, b.self)
	return a, b
}

// countRuns returns a handler that responds to each request with its number.
func countRuns(runs *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Order", "kept")
		fmt.Fprint(w, "run ", runs.Add(1))
	}
}

// TestRepeatGetsRecordedResponseFromAnyInstance submits a request several times to
// its home and to another instance, which must forward it to the home. A second run
// would execute a non-idempotent request twice.
func TestRepeatGetsRecordedResponseFromAnyInstance(t *testing.T) {
	var runs atomic.Int32
	a, b := startPair(t, countRuns(&runs))
	id := orderID(t, a, "o-1")
	for _, inst := range []*testInstance{a, a, b, b, a} {
		resp, body, err := submitOrder(t.Context(), inst, id)
		if err != nil {
			t.Fatal(err)
		}
		if body != "run 1" || resp.Header.Get("X-Order") != "kept" || resp.Header.Get(wire.HeaderOutcome) != "completed" {
			t.Errorf("at %s: body %q, header %v", inst.self.ID, body, resp.Header)
		}
		if got := resp.Header.Values(wire.HeaderRequestID); len(got) != 1 || got[0] != id {
			t.Errorf("at %s: id %v", inst.self.ID, got)
		}
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("the request ran %d times, want 1", n)
	}
}

// TestRepeatWaitsForRunWhoseCallerDisconnected cancels the first submission after the
// target received it. The run must go on, and repeats must wait for it instead of
// running the request again.
func TestRepeatWaitsForRunWhoseCallerDisconnected(t *testing.T) {
	var runs atomic.Int32
	started, release := make(chan struct{}), make(chan struct{})
	a, b := startPair(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		runs.Add(1)
		close(started)
		<-release
		io.WriteString(w, "sent")
	})
	id := orderID(t, a, "o-1")
	ctx, cancel := context.WithCancel(t.Context())
	disconnected := make(chan struct{})
	go func() {
		submitOrder(ctx, a, id)
		close(disconnected)
	}()
	<-started
	cancel()
	<-disconnected
	bodies := make(chan string, 2)
	for _, inst := range []*testInstance{a, b} {
		go func() {
			_, body, _ := submitOrder(t.Context(), inst, id)
			bodies <- body
		}()
	}
	for a.inFlight.Load() < 3 {
		runtime.Gosched() // until the first submission and both repeats are at their home
	}
	close(release)
	for range 2 {
		if body := <-bodies; body != "sent" {
			t.Errorf("body %q of a repeat, want that of the first submission", body)
		}
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("the request ran %d times, want 1", n)
	}
}

// TestRepeatIsUnknownWithoutItsHome submits a repeat to another instance while the
// home is not listed, restarted or unreachable. No other instance has the record of the
// first run, so the repeat must neither run nor be reported as not run.
func TestRepeatIsUnknownWithoutItsHome(t *testing.T) {
	var runs atomic.Int32
	a, b := startPair(t, countRuns(&runs))
	id := orderID(t, a, "o-1")
	if _, _, err := submitOrder(t.Context(), a, id); err != nil {
		t.Fatal(err)
	}
	restarted := a.self
	restarted.Incarnation = "i2"
	unreachable := a.self
	unreachable.HopAddress = "127.0.0.1:1"
	for name, list := range map[string][]platform.Instance{
		"not listed":  {b.self},
		"restarted":   {restarted, b.self},
		"unreachable": {unreachable, b.self},
	} {
		b.cluster.list.Store(&list)
		b.applyUpdates()
		resp, _, err := submitOrder(t.Context(), b, id)
		if err != nil {
			t.Fatal(err)
		}
		if resp.Header.Get(wire.HeaderKind) != "home-gone" || resp.Header.Get(wire.HeaderOutcome) != "unknown" {
			t.Errorf("%s: header %v", name, resp.Header)
		}
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("the request ran %d times, want 1", n)
	}
}

// TestRepeatOfCompletedRequestIsNeverReportedNotRun submits repeats of a request that
// ran in each situation in which an instance refuses a new request as not run.
func TestRepeatOfCompletedRequestIsNeverReportedNotRun(t *testing.T) {
	var runs atomic.Int32
	a, b := startPair(t, countRuns(&runs))
	id := orderID(t, a, "o-1")
	if _, _, err := submitOrder(t.Context(), a, id); err != nil {
		t.Fatal(err)
	}
	submit := func(inst *testInstance, path, field, value string) *http.Response {
		r, _ := http.NewRequest("POST", inst.url()+path, strings.NewReader("tiles"))
		r.Header.Set(wire.HeaderRequestID, id)
		r.Header.Set(field, value)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp
	}
	check := func(name string, resp *http.Response) {
		if o := resp.Header.Get(wire.HeaderOutcome); o == "not-run" {
			t.Errorf("%s: outcome %q, kind %q", name, o, resp.Header.Get(wire.HeaderKind))
		}
	}
	for _, inst := range []*testInstance{a, b} {
		check("unknown route", submit(inst, "/gone", "X", ""))
		check("bad field", submit(inst, "/feedlog/orders", wire.HeaderDeadlineMS, "soon"))
		inst.stage.Store(stageRefusing)
		check("leaving", submit(inst, "/feedlog/orders", "X", ""))
		inst.snapshot.Store(emptySnapshot())
		check("no tables", submit(inst, "/feedlog/orders", "X", ""))
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("the request ran %d times, want 1", n)
	}
}

func TestMalformedIDIsRefused(t *testing.T) {
	var runs atomic.Int32
	a, _ := startPair(t, countRuns(&runs))
	resp, _, err := submitOrder(t.Context(), a, "not.an.id")
	if err != nil {
		t.Fatal(err)
	}
	if resp.Header.Get(wire.HeaderKind) != "bad-request-id" || runs.Load() != 0 {
		t.Errorf("header %v, %d runs, want kind bad-request-id and none", resp.Header, runs.Load())
	}
}

// staticList is a platform.InstanceRegistry with a fixed list.
type staticList struct {
	platform.InstanceRegistry
	list []platform.Instance
}

func (l staticList) ListInstances(context.Context) ([]platform.Instance, error) { return l.list, nil }

// TestHomeMissingInClusterIsFoundInPlatformList submits a repeat to an instance whose
// cluster does not list the home yet, as right after the home's start.
func TestHomeMissingInClusterIsFoundInPlatformList(t *testing.T) {
	var runs atomic.Int32
	a, b := startPair(t, countRuns(&runs))
	id := orderID(t, a, "o-1")
	b.cluster.list.Store(&[]platform.Instance{b.self})
	b.applyUpdates()
	b.homeFinder.instances = staticList{list: []platform.Instance{a.self, b.self}}
	for range 2 {
		_, body, err := submitOrder(t.Context(), b, id)
		if err != nil || body != "run 1" {
			t.Errorf("body %q, %v", body, err)
		}
	}
}
