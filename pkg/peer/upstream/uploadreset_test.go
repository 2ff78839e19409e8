package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/test/rawserver"
)

const (
	// openResponse is a response that has no length and ends with its connection.
	openResponse = "HTTP/1.1 200 OK\r\n\r\n" + openBody
	openBody     = "a part of the body"
	// uploadPiece is more than the connection buffers, so that it is written at once.
	uploadPiece = 64 << 10
)

// upload is a request with a streamed body to a server that responds before it has read it.
type upload struct {
	resp *Response
	body *io.PipeWriter
	// end has the server end its connection, and ended is closed when it has.
	end, ended chan struct{}
}

// startUpload sends the head of an upload, and returns when the body of the response has been
// read as far as the server has sent it. end ends the server's connection.
func startUpload(t *testing.T, end func(c *net.TCPConn)) *upload {
	t.Helper()
	u := &upload{end: make(chan struct{}), ended: make(chan struct{})}
	address := rawserver.Start(t, func(c net.Conn, br *bufio.Reader) {
		for line := ""; line != "\r\n"; {
			var err error
			if line, err = br.ReadString('\n'); err != nil {
				return
			}
		}
		_, _ = io.WriteString(c, openResponse)
		<-u.end
		end(c.(*net.TCPConn))
		close(u.ended)
	})
	p := NewPool(NewDialer(Options{}), address, 1)
	t.Cleanup(p.Close)
	var source *io.PipeReader
	source, u.body = io.Pipe()
	in, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://x/", source)
	if err != nil {
		t.Fatal(err)
	}
	in.ContentLength = -1
	body, err := NewBody(in, 1<<30)
	if err != nil {
		t.Fatal(err)
	}
	started := make(chan struct{})
	go func() {
		defer close(started)
		_, _ = u.body.Write(make([]byte, uploadPiece))
	}()
	if u.resp, err = p.Send(t.Context(), NewRequest(in, address, body, func(string) bool { return false })); err != nil {
		t.Fatal(err)
	}
	<-started
	t.Cleanup(func() { _ = u.body.Close(); u.resp.Close() })
	if _, err := io.ReadFull(u.resp.Body, make([]byte, len(openBody))); err != nil {
		t.Fatal(err)
	}
	return u
}

// writeUntilFailed writes the upload until its connection fails.
func (u *upload) writeUntilFailed(t *testing.T) {
	t.Helper()
	go func() {
		for {
			if _, err := u.body.Write(make([]byte, uploadPiece)); err != nil {
				return
			}
		}
	}()
	for began := time.Now(); len(u.resp.writeDone) == 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatal("the upload goes on")
		}
	}
}

// reset ends a connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// TestResponseWhoseUploadMeetsTheResetIsNotComplete guards against a part of a response that a
// caller gets as the whole: a reset is reported once, and when the writer of the request meets
// it, the reader of the response sees an orderly end.
func TestResponseWhoseUploadMeetsTheResetIsNotComplete(t *testing.T) {
	u := startUpload(t, reset)
	close(u.end)
	<-u.ended
	u.writeUntilFailed(t)
	_, err := u.resp.Body.Read(make([]byte, 1))
	if err == nil || err == io.EOF {
		t.Fatalf("the response ends with %v after a reset", err)
	}
	if got := u.resp.BodyError(t.Context(), err); got.Reason != ReasonConnectionLost || !got.MaybeSent {
		t.Errorf("error %v, want that the connection was lost", got)
	}
}

// TestResponseThatEndsBeforeItsUploadIsComplete has the server end its response in order and
// read on, or be gone when more of the upload arrives.
func TestResponseThatEndsBeforeItsUploadIsComplete(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"reads on": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			go func() { _, _ = io.Copy(io.Discard, c) }()
			time.Sleep(10 * time.Millisecond)
		},
		"reads nothing": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"is gone": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(10 * time.Millisecond)
			reset(c)
		},
	} {
		t.Run(name, func(t *testing.T) {
			u := startUpload(t, end)
			close(u.end)
			<-u.ended
			if name == "is gone" {
				u.writeUntilFailed(t)
			}
			if rest, err := io.ReadAll(u.resp.Body); err != nil || len(rest) > 0 {
				t.Errorf("the response ends with %d bytes and %v", len(rest), err)
			}
		})
	}
}

// TestEndOfAResponseAwaitsTheWriteInFlight has a write meet the end of the connection and return
// only after the reader has seen it.
func TestEndOfAResponseAwaitsTheWriteInFlight(t *testing.T) {
	for name, c := range map[string]struct {
		err     error
		inOrder bool
	}{
		"reset":                      {syscall.ECONNRESET, false},
		"silence":                    {syscall.ETIMEDOUT, false},
		"reset after an orderly end": {syscall.EPIPE, true},
		"interrupted":                {os.ErrDeadlineExceeded, true},
		"written":                    {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			server := &writingConn{response: strings.NewReader(openResponse), writing: make(chan struct{}), interrupted: make(chan struct{}), err: c.err}
			w := newWireConn(server, nil, time.Now)
			var writer conc.WaitGroup
			defer writer.Wait()
			writer.Go(func() { _, _ = w.Write([]byte("a part of the upload")) })
			<-server.writing
			resp, err := http.ReadResponse(bufio.NewReader(w), nil)
			if err != nil {
				t.Fatal(err)
			}
			if !endsWithConnection(resp) {
				t.Fatal("the response does not end with its connection")
			}
			got, err := io.ReadAll(&eofTrackingBody{ReadCloser: resp.Body, wire: w})
			if (err == nil) != c.inOrder || string(got) != openBody {
				t.Errorf("the body is %q and ends with %v", got, err)
			}
		})
	}
}

// writingConn is a connection with a response and a write in flight, which returns err a while
// after it was interrupted by its deadline.
type writingConn struct {
	net.Conn
	response             io.Reader
	writing, interrupted chan struct{}
	err                  error
}

func (c *writingConn) Read(b []byte) (int, error) { return c.response.Read(b) }

func (c *writingConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.interrupted
	time.Sleep(20 * time.Millisecond)
	return 0, c.err
}

func (c *writingConn) SetWriteDeadline(time.Time) error {
	close(c.interrupted)
	return nil
}
