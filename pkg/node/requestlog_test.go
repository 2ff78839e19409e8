package node

import (
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestRequestLineHasPathAndStatuses checks that the line of a request shows what was
// matched and what was relayed: without these, a wrong route and a wrong status can't be
// told from a wrong target.
func TestRequestLineHasPathAndStatuses(t *testing.T) {
	address := startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		w.WriteHeader(http.StatusTeapot)
	})
	core, logged := observer.New(zap.InfoLevel)
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.log = zap.New(core)
	inst.run(t, oneTarget(address, "osrednja-a"))
	get(t, inst.url()+"/feedlog/a%2Fb?c=d")
	for logged.FilterMessage("request").Len() == 0 { // it is logged after the response
		time.Sleep(time.Millisecond)
	}
	fields := logged.FilterMessage("request").All()[0].ContextMap()
	if fields["path"] != "/feedlog/a%2Fb" || fields["status"] != int64(http.StatusTeapot) {
		t.Errorf("path %v, status %v", fields["path"], fields["status"])
	}
	interim, ok := fields["interim"].([]any)
	if !ok || len(interim) != 1 || interim[0] != http.StatusEarlyHints {
		t.Errorf("interim responses %v", fields["interim"])
	}
}
