package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/test/rawserver"
)

const (
	// uploads is the number of uploads of a run, each written in uploadPieces pieces of
	// uploadPiece bytes, one every uploadInterval.
	uploads        = 48
	uploadPieces   = 10
	uploadPiece    = 8 << 10
	uploadInterval = 5 * time.Millisecond
	// readBeforeResponse is how much of an upload the target reads.
	readBeforeResponse = 1000
	openBodyBytes      = 950
)

// startEarlyResponder starts a target that responds to an upload of which it has read a part,
// with a body that has no length, and then ends the connection by end.
func startEarlyResponder(t *testing.T, end func(c *net.TCPConn)) (address string) {
	t.Helper()
	return rawserver.Start(t, func(c net.Conn, br *bufio.Reader) {
		if _, err := io.ReadFull(br, make([]byte, readBeforeResponse)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", openBodyBytes))
		end(c.(*net.TCPConn))
	})
}

// slowBody is the body of an upload.
type slowBody struct{ pieces int }

func (b *slowBody) Read(p []byte) (int, error) {
	if b.pieces == uploadPieces {
		return 0, io.EOF
	}
	time.Sleep(uploadInterval)
	b.pieces++
	return copy(p, make([]byte, uploadPiece)), nil
}

// upload sends one upload and reports whether the caller has a complete success.
func upload(t *testing.T, client *http.Client, url string, length int64) bool {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, &slowBody{})
	if err != nil {
		t.Error(err)
		return false
	}
	r.ContentLength = length
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && len(body) == openBodyBytes
}

// TestPartOfAResponseIsNotTheWholeBesideAnUpload guards against a part of a response that a
// caller gets as complete: its target resets the connection while the upload is being written.
// A target that ends its response in order and reads on has completed it.
func TestPartOfAResponseIsNotTheWholeBesideAnUpload(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(c *net.TCPConn)
		want int32
	}{
		"reset":    {func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, 0},
		"in order": {func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }, uploads},
	} {
		for _, length := range []int64{-1, uploadPieces * uploadPiece} {
			t.Run(fmt.Sprintf("%s, length %d", name, length), func(t *testing.T) {
				near, far := startWithoutProbes(t, "a-1", "osrednja-a"), startWithoutProbes(t, "b-1", "osrednja-b")
				tables := oneTarget(startEarlyResponder(t, c.end), "osrednja-b")
				near.run(t, tables, near.self, far.self)
				far.run(t, tables, near.self, far.self)
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				for through, inst := range map[string]*testInstance{"the target's zone": far, "a hop": near} {
					var complete atomic.Int32
					var wg conc.WaitGroup
					for i := range uploads {
						wg.Go(func() {
							if upload(t, client, fmt.Sprintf("%s/feedlog/%d", inst.url(), i), length) {
								complete.Add(1)
							}
						})
					}
					wg.Wait()
					if got := complete.Load(); got != c.want {
						t.Errorf("through %s: %d of %d uploads have a complete response, want %d", through, got, uploads, c.want)
					}
				}
			})
		}
	}
}
