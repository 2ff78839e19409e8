package node

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/jacinthramp/jacinthramp/pkg/telemetry"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

func TestEachHopHasSpanOfCallersTrace(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	tracer := telemetry.NewTracerWithExporter(exporter, 0, "test", "osrednja-a")
	seen := make(chan string, 1)
	tables := oneTarget(startTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Get("Traceparent")
	}), "osrednja-b")
	a, b := startInstance(t, "a-1", "osrednja-a"), startInstance(t, "b-1", "osrednja-b")
	a.tracer, b.tracer = tracer, tracer
	a.run(t, tables, a.self, b.self)
	b.run(t, tables, a.self, b.self)
	const trace = "0af7651916cd43dd8448eb211c80319c"
	r, _ := http.NewRequest("GET", a.url()+"/feedlog", nil)
	r.Header.Set("Traceparent", "00-"+trace+"-b7ad6b7169203331-01")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if got := <-seen; !strings.Contains(got, trace) {
		t.Errorf("the target got traceparent %q", got)
	}
	for a.inFlight.Load()+b.inFlight.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	tracer.ForceFlush(t.Context())
	var names []string
	for _, s := range exporter.GetSpans() {
		if s.SpanContext.TraceID().String() == trace {
			names = append(names, s.Name)
		}
	}
	if got := strings.Join(names, ", "); got != "dispatch, request feedlog, hop, request feedlog" {
		t.Errorf("spans: %s", got)
	}
	tracer.Close(t.Context())
}

func TestMetricsShowLatencyAndHeadroom(t *testing.T) {
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.metrics = telemetry.NewMetrics("a-1", "osrednja-a")
	inst.run(t, oneTarget(startTarget(t, echo), "osrednja-a"))
	r, _ := http.NewRequest("GET", inst.url()+"/feedlog", nil)
	r.Header.Set(wire.HeaderMember, "haulier")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	inst.metrics.RecordDrain("t1", time.Second)
	inst.metrics.RecordPool("feedlog-osrednja", 8, 2, 0)
	if err := inst.metrics.Close(); err != nil { // publishes the recorded values
		t.Fatal(err)
	}
	resp, err = http.Get("http://" + inst.self.AdminAddress + wire.PathMetrics)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	for _, want := range []string{
		`jacinthramp_requests{instance="a-1"`, `member="haulier"`, `outcome="completed"`, "jacinthramp_latency_seconds_bucket",
		"jacinthramp_pool_headroom_ratio", "jacinthramp_drain_seconds_bucket",
	} {
		if !strings.Contains(string(b), want) {
			t.Errorf("the exposed metrics lack %s", want)
		}
	}
	if t.Failed() {
		t.Log(string(b))
	}
}
