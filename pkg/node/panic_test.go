package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// TestPanicInAnAttemptEndsThatAttemptOnly makes an attempt panic in a goroutine of
// its own, as a hedge does. Unrecovered, the panic would end the process.
func TestPanicInAnAttemptEndsThatAttemptOnly(t *testing.T) {
	inst := startInstance(t, "a-1", "osrednja-a")
	address := startTarget(t, echo)
	inst.run(t, oneTarget(address, "osrednja-a"))
	ended := make(chan *attempt)
	go func() {
		// An exchange without a body panics when the attempt uses it.
		x := &exchange{node: inst.Node, req: steer.Request{Deadline: time.Now().Add(time.Second)}}
		broken := &attempt{x: x, decision: steer.Decision{Verdict: steer.Dispatch, Target: "t1", Address: address}, httpReq: &http.Request{Header: http.Header{}}, ctx: context.Background()}
		broken.send()
		ended <- broken
	}()
	if b := <-ended; b.result.Kind != fault.KindTargetLost {
		t.Errorf("the attempt ended with %v", b.result.Kind)
	}
	if resp, _ := get(t, inst.url()+"/feedlog/1"); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d of a request after the panic", resp.StatusCode)
	}
}
