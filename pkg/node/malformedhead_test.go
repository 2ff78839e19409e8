package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/settings"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
	"github.com/jacinthramp/jacinthramp/test/rawserver"
)

// soundResponse returns the response that a raw target sends to a request for path.
func soundResponse(path string) string {
	text := "GET " + path + " "
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// startTargetWithBadResponse serves a target that sends bad, and then the sound response,
// to requests for /feedlog/bad.
func startTargetWithBadResponse(t *testing.T, bad string) (address string) {
	t.Helper()
	return rawserver.Start(t, func(c net.Conn, br *bufio.Reader) {
		for {
			r, ok := rawserver.ReadRequest(br)
			if !ok {
				return
			}
			if r.URL.Path == "/feedlog/bad" {
				io.WriteString(c, bad)
			}
			io.WriteString(c, soundResponse(r.URL.Path))
		}
	})
}

// TestResponseWithInvalidStatusLineIsNotRelayed has a target send a head that is no HTTP/1
// response in front of its sound one. If it counted as an interim response, the caller
// would get its status as that of the final response.
func TestResponseWithInvalidStatusLineIsNotRelayed(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 ", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 +12 OK", "HTTP/1.1 -00 OK",
		"HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/2.0 103 Early Hints",
	} {
		t.Run(line, func(t *testing.T) {
			inst := startInstance(t, "a-1", "osrednja-a")
			inst.settings.Probe.Interval = settings.Duration(time.Hour)
			inst.run(t, oneTarget(startTargetWithBadResponse(t, line+"\r\n\r\n"), "osrednja-a"))
			resp := sendRaw(t, inst, "POST /feedlog/bad HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", false)
			if resp.StatusCode != 502 || resp.Header.Get(wire.HeaderKind) != "target-garbage" || resp.Header.Get(wire.HeaderOutcome) != "unknown" {
				t.Errorf("status line %q, header %v", strings.TrimSpace(resp.Proto+" "+resp.Status), resp.Header)
			}
			checkServing(t, inst)
		})
	}
}

// TestResponseWithInvalidFieldNameIsNotRelayed has a target send a field whose name has a
// space. A caller might read "Content-Length : 1" as the length of the body, which
// here ends with its chunks.
func TestResponseWithInvalidFieldNameIsNotRelayed(t *testing.T) {
	for name, response := range map[string]string{
		"space before the colon": "HTTP/1.1 200 OK\r\nContent-Length : 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"space in the name":      "HTTP/1.1 200 OK\r\nOdd Name: 1\r\nContent-Length: 2\r\n\r\nok",
		"interim response":       "HTTP/1.1 103 Early Hints\r\nLink : 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			inst := startInstance(t, "a-1", "osrednja-a")
			inst.settings.Probe.Interval = settings.Duration(time.Hour)
			inst.run(t, oneTarget(startTargetWithBadResponse(t, response), "osrednja-a"))
			resp := sendRaw(t, inst, "POST /feedlog/bad HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", false)
			if resp.StatusCode != 502 || resp.Header.Get(wire.HeaderKind) != "target-garbage" {
				t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
			}
			checkServing(t, inst)
		})
	}
}

// TestInvalidTrailerFieldIsNotRelayed has a target send a trailer field whose name has a
// space, announced or beside one that is announced.
func TestInvalidTrailerFieldIsNotRelayed(t *testing.T) {
	for _, announced := range []string{"", "Trailer: Sum\r\n", "Trailer: Odd Name, Sum\r\n"} {
		response := "HTTP/1.1 200 OK\r\n" + announced + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nOdd Name: 1\r\nSum: 7\r\n\r\n"
		inst := startInstance(t, "a-1", "osrednja-a")
		inst.run(t, oneTarget(rawserver.Start(t, func(c net.Conn, br *bufio.Reader) {
			for {
				if _, ok := rawserver.ReadRequest(br); !ok {
					return
				}
				io.WriteString(c, response)
			}
		}), "osrednja-a"))
		c, err := net.Dial("tcp", inst.self.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, "GET /feedlog HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		got, _ := io.ReadAll(c)
		c.Close()
		if strings.Contains(string(got), "Odd Name") {
			t.Errorf("%q: the caller got %q", announced, got)
		}
		if announced != "" && !strings.Contains(string(got), "Sum: 7") {
			t.Errorf("%q: the caller got no sum: %q", announced, got)
		}
	}
}

// TestInterimResponseToAnotherRequestIsNotRelayed has a target send an interim response that
// names an earlier request, late, in front of its sound response.
func TestInterimResponseToAnotherRequestIsNotRelayed(t *testing.T) {
	for id, status := range map[string]int{"other": 502, "this": 103} {
		inst := startInstance(t, "a-1", "osrednja-a")
		inst.settings.Probe.Interval = settings.Duration(time.Hour)
		inst.dialect.RequestID, inst.dialect.OpaqueIDs, inst.dialect.EchoesRequestID = "Id", true, true
		bad := "HTTP/1.1 103 Early Hints\r\nId: " + id + "\r\n\r\n"
		inst.run(t, oneTarget(startTargetWithBadResponse(t, bad), "osrednja-a"))
		resp := sendRaw(t, inst, "POST /feedlog/bad HTTP/1.1\r\nHost: x\r\nId: this\r\nContent-Length: 0\r\n\r\n", false)
		if resp.StatusCode != status {
			t.Errorf("id %s: status %d, header %v", id, resp.StatusCode, resp.Header)
		}
	}
}
