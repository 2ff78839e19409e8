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

// TestAnswerThatBreaksOffCutsNoOtherRequestOfItsConnection has a target stop in
// the middle of an answer of unannounced length while the caller waits for another
// request on the same connection.
func TestAnswerThatBreaksOffCutsNoOtherRequestOfItsConnection(t *testing.T) {
	second := make(chan struct{})
	m := startWithHandler(t, func(w http.ResponseWriter, r *http.Request) {
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
	c, err := net.Dial("tcp", m.self.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	once := "\r\nHost: x\r\n" + wire.HeaderIdempotent + ": false\r\n\r\n"
	if _, err := io.WriteString(c, "GET /feedlog/1 HTTP/1.1"+once+"GET /feedlog/2 HTTP/1.1"+once); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(c)
	first, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, first.Body); err != nil || first.Header.Get(wire.HeaderOutcome) != string(fault.Unknown) {
		t.Errorf("the broken answer: status %d, outcome %q, %v", first.StatusCode, first.Header.Get(wire.HeaderOutcome), err)
	}
	other, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatalf("the other request is cut off: %v", err)
	}
	if body, err := io.ReadAll(other.Body); err != nil || string(body) != "whole" {
		t.Errorf("the other answer: %q, %v", body, err)
	}
}
