package target

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/standin/exchange"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

func TestEveryResponseOfALeavingTargetCarriesTheNotice(t *testing.T) {
	f := newFixture(t, Config{})
	f.client.Transport = &http.Transport{DisableKeepAlives: true} // malformed responses leave bytes on connections
	f.target.StartLeaving()
	malformedLength := func(r *http.Request) { r.Header.Set(exchange.HeaderResponseBytes, "x") }
	shortDeadline := func(r *http.Request) { r.Header.Set(wire.HeaderDeadlineMS, "20") }
	for name, c := range map[string]struct {
		faults Faults
		edit   func(*http.Request)
		want   int
	}{
		"completed":   {Faults{}, nil, http.StatusOK},
		"refused":     {Faults{Shed: true}, nil, http.StatusServiceUnavailable},
		"bad request": {Faults{}, malformedLength, http.StatusBadRequest},
		"too late":    {Faults{Hang: true}, shortDeadline, http.StatusGatewayTimeout},
		"truncated":   {Faults{Malformed: MalformedTruncated}, nil, http.StatusOK},
		"two":         {Faults{Malformed: MalformedDuplicate}, nil, http.StatusOK},
		"excess":      {Faults{Malformed: MalformedEndlessExcess}, nil, http.StatusOK},
		"no length":   {Faults{Malformed: MalformedEndlessBody}, nil, http.StatusOK},
	} {
		f.target.SetFaults(c.faults)
		status, header, _ := f.send(t.Context(), f.nextRequest(), c.edit)
		if status != c.want || header.Get(wire.HeaderTargetLeaving) != "true" {
			t.Errorf("%s: status %d, want %d, header %v", name, status, c.want, header)
		}
	}
}

func TestEveryResponseCarriesTheRateLimitUntilItEnds(t *testing.T) {
	f := newFixture(t, Config{})
	for limit, want := range map[float64]string{2.5: "2.5", 0: "0", noRateLimit: ""} {
		f.target.SetRateLimit(limit)
		for _, faults := range []Faults{{}, {Shed: true}} {
			f.target.SetFaults(faults)
			if _, header, err := f.send(t.Context(), f.nextRequest(), nil); err != nil || header.Get(wire.HeaderTargetRateLimit) != want {
				t.Errorf("limit %v, faults %+v: header %v, %v", limit, faults, header, err)
			}
		}
	}
}

func TestRequestInFlightWhenTheTargetLeavesReceivesTheNotice(t *testing.T) {
	f := newFixture(t, Config{ServiceTime: table.Duration(200 * time.Millisecond)})
	var wg conc.WaitGroup
	var header http.Header
	s := f.nextRequest()
	wg.Go(func() { _, header, _ = f.send(t.Context(), s, nil) })
	eventually(t, "the request runs", func() bool { return f.target.Stats().Running == 1 })
	f.target.StartLeaving()
	wg.Wait()
	if header.Get(wire.HeaderTargetLeaving) != "true" {
		t.Fatalf("header %v", header)
	}
}

func TestBackoffRefusesRequestsUntilItEnds(t *testing.T) {
	f := newFixture(t, Config{})
	f.target.StartBackoff(time.Hour + 500*time.Millisecond)
	status, header, err := f.send(t.Context(), f.nextRequest(), nil)
	if err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") != "3601" || header.Get(wire.HeaderTargetShed) != "true" {
		t.Fatalf("status %d, header %v, %v", status, header, err)
	}
	if runs := f.recorder.Runs(); runs.Total != 0 {
		t.Fatalf("runs: %+v", runs)
	}
	f.target.StartBackoff(50 * time.Millisecond)
	eventually(t, "requests run again", func() bool {
		status, _, err := f.send(t.Context(), f.nextRequest(), nil)
		return status == http.StatusOK && err == nil
	})
}

func TestEndlessResponseEndsWhenThePeerCloses(t *testing.T) {
	for _, kind := range []MalformedResponse{MalformedEndlessHead, MalformedEndlessExcess, MalformedEndlessBody} {
		for _, interval := range []time.Duration{0, time.Millisecond} {
			f := newFixture(t, Config{Faults: Faults{Malformed: kind, ByteInterval: table.Duration(interval)}})
			conn := f.dialAndSend()
			// More bytes than the valid response holds, and fewer than a fast
			// response fills buffers with.
			bytes := map[bool]int64{true: 4 << 20, false: 500}[interval == 0]
			var head strings.Builder
			if _, err := io.CopyN(&head, conn, bytes); err != nil {
				t.Fatalf("%s, byte interval %v: %v", kind, interval, err)
			}
			if ended := strings.Contains(head.String(), "\r\n\r\n"); ended != (kind != MalformedEndlessHead) {
				t.Errorf("%s, byte interval %v: the header ends: %v", kind, interval, ended)
			}
			if sized := strings.Contains(head.String(), "Content-Length:"); sized != (kind == MalformedEndlessExcess) {
				t.Errorf("%s, byte interval %v: Content-Length: %v", kind, interval, sized)
			}
			if f.target.Stats().Running != 1 {
				t.Errorf("%s, byte interval %v: the response ended by itself", kind, interval)
			}
			_ = conn.Close()
			eventually(t, "the response ends", func() bool { return f.target.Stats().Running == 0 })
		}
	}
}

func TestEndlessResponseOnAStalledConnectionEndsWhenThePeerCloses(t *testing.T) {
	f := newFixture(t, Config{Faults: Faults{Malformed: MalformedEndlessBody}})
	conn := f.dialAndSend()
	eventually(t, "the request runs", func() bool { return f.target.Stats().Running == 1 })
	f.target.StallConnections()
	_ = conn.Close()
	eventually(t, "the response ends", func() bool { return f.target.Stats().Running == 0 })
}

// dialAndSend opens a connection to the target and sends a request on it.
func (f *fixture) dialAndSend() net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.target.Address())
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: t\r\n\r\n"); err != nil {
		f.t.Fatal(err)
	}
	return conn
}
