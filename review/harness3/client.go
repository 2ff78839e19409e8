package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

var lastRequest atomic.Int64

// newID returns the id of the next client attempt.
func newID(kind string) string { return fmt.Sprintf("%s-%06d", kind, lastRequest.Add(1)) }

// request is one client attempt.
type request struct {
	method, path, id string
	deadline         time.Duration
	body             string
	chunked          bool
	// key is the client's key; empty without one.
	key string
}

// bytes returns the request as it is sent.
func (r *request) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nJacinthramp-Deadline-Ms: %d\r\n", r.method, r.path, host, headerID, r.id, r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", r.key)
	}
	switch {
	case r.chunked:
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(r.body), r.body)
	case r.body != "":
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	default:
		b.WriteString("\r\n")
	}
	return b.Bytes()
}

// answer is what a client has got: a status and body, or the error with which its connection
// ended.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no complete answer: " + a.err.Error()
	}
	return fmt.Sprint(a.status)
}

// readAnswer reads one answer.
func readAnswer(br *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	for err == nil && resp.StatusCode < http.StatusOK {
		resp, err = http.ReadResponse(br, &http.Request{Method: method})
	}
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// send sends r on a connection of its own.
func (m *machine) send(r *request) answer {
	c, err := net.DialTimeout("tcp", m.addr["caller"], time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(r.deadline))
	if _, err := c.Write(r.bytes()); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(c), r.method)
}

// short returns the start of text on one line.
func short(text string) string {
	text = strings.ReplaceAll(text, "\n", " ")
	return text[:min(len(text), 80)]
}
