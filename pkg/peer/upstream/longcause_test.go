package upstream

import (
	"strings"
	"testing"
	"time"
)

// TestCauseOfGarbageIsShort has the server send much that is no response. The errors wait
// with their requests until the callers read.
func TestCauseOfGarbageIsShort(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	for name, text := range map[string]string{
		"no response": long + "\r\n\r\n",
		"version":     "HTTP/" + long + " 200 OK\r\n\r\n",
		"status":      "HTTP/1.1 " + long + " OK\r\n\r\n",
		"status text": "HTTP/1.1 099 " + long + "\r\n\r\n",
		"header line": "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"name":        "HTTP/1.1 200 OK\r\nA " + long + ": b\r\n\r\n",
		"length":      "HTTP/1.1 200 OK\r\nContent-Length: " + long + "\r\n\r\n",
		"encoding":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + long + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPool(NewDialer(Options{DialTimeout: 10 * time.Second}), startUnboundedServer(t, text, "x", 10*time.Millisecond), 1)
			defer p.Close()
			const limit = 2 * maxCauseBytes
			err := sendRequest(t.Context(), p)
			if err == nil || len(err.Error()) > limit || AsError(err).Reason != ReasonInvalidResponse {
				t.Errorf("error of %d bytes, want at most %d: %.100v", len(err.Error()), limit, err)
			}
		})
	}
}
