package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/jacinthramp/jacinthramp/test/rawserver"
)

// receiveCut sends a request to a server that sends response and ends the connection, with a
// reset if reset is set. It reports whether the response counts as a complete success.
func receiveCut(t *testing.T, response string, reset bool) bool {
	t.Helper()
	served := make(chan struct{})
	address := rawserver.Start(t, func(c net.Conn, br *bufio.Reader) {
		defer close(served)
		_, _ = rawserver.ReadRequest(br)
		_, _ = io.WriteString(c, response)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	})
	p := NewPool(NewDialer(Options{}), address, 1)
	defer p.Close()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://x/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := p.Send(t.Context(), r)
	<-served
	if err != nil {
		return false
	}
	defer resp.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// TestResponseCutAtAnyByteIsNotComplete guards against a server that stops in the middle of its
// response and closes, whose caller gets a 200 with an empty or short body, framed as whole.
// Of a response whose end is that of the connection, only the head is cut.
func TestResponseCutAtAnyByteIsNotComplete(t *testing.T) {
	const (
		interim  = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
		openHead = "HTTP/1.1 200 OK\r\nX: y\r\n z\r\n\r\n"
		oldHead  = "HTTP/1.0 200 OK\nX: y\n\n"
	)
	for name, c := range map[string]struct {
		response string
		// cuts is how many bytes of it can't be missed without notice.
		cuts int
	}{
		"length":           {"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 10\r\n\r\n0123456789", -1},
		"length after 103": {interim + "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789", -1},
		"empty body":       {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: y\r\n\r\n", -1},
		"chunks":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\nSum: 1\r\n\r\n", -1},
		"until close":      {openHead + "0123456789", len(openHead)},
		"HTTP/1.0":         {oldHead + "0123456789", len(oldHead)},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				cuts := c.cuts
				if cuts < 0 {
					cuts = len(c.response)
				}
				for n := range cuts {
					if receiveCut(t, c.response[:n], reset) {
						t.Errorf("complete success after %q", c.response[:n])
					}
				}
				whole := receiveCut(t, c.response, reset)
				if !reset && !whole {
					t.Error("the whole response is no complete success")
				}
				if reset && whole && c.cuts >= 0 {
					t.Error("complete success, though the reset hides whether the body has ended")
				}
			})
		}
	}
}
