package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// TestTruncatedResponseEndsNoOtherRequestOfItsConnection pipelines two requests on
// one connection. The target aborts the first response, of unknown length, after a
// part of its body. If that part were relayed, the caller's connection would have to
// be closed, and the second response would be lost with it.
func TestTruncatedResponseEndsNoOtherRequestOfItsConnection(t *testing.T) {
	second := make(chan struct{})
	inst := startWithHandler(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/feedlog/2" {
			close(second)
			_, _ = io.WriteString(w, "whole")
			return
		}
		<-second
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	c, err := net.Dial("tcp", inst.self.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	nonIdempotent := "\r\nHost: x\r\n" + wire.HeaderIdempotent + ": false\r\n\r\n"
	if _, err := io.WriteString(c, "GET /feedlog/1 HTTP/1.1"+nonIdempotent+"GET /feedlog/2 HTTP/1.1"+nonIdempotent); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(c)
	first, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, first.Body); err != nil || first.Header.Get(wire.HeaderOutcome) != string(fault.OutcomeUnknown) {
		t.Errorf("truncated response: status %d, outcome %q, %v", first.StatusCode, first.Header.Get(wire.HeaderOutcome), err)
	}
	other, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatalf("the other request on the connection got no response: %v", err)
	}
	if body, err := io.ReadAll(other.Body); err != nil || string(body) != "whole" {
		t.Errorf("body of the other response: %q, %v", body, err)
	}
}
