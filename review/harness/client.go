package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// deadlineMS is how long the clients wait for an answer.
const deadlineMS = 4000

var lastID atomic.Int64

// newID returns a new request id.
func newID() string { return fmt.Sprintf("9c41d07be2a3%04x", lastID.Add(1)) }

// client is a client with one connection to an instance.
type client struct {
	rec *record
	nc  net.Conn
	br  *bufio.Reader
}

// answer is what a client gets for a request. raw is the start of what it read.
type answer struct {
	status int
	stamp  string
	body   string
	err    error
}

// connect asks the directory of in for an address, as clients do, and connects to it.
func (w *world) connect(in *instance) (*client, error) {
	resp, err := (&http.Client{Timeout: time.Second}).Get(fmt.Sprintf("http://%s/api/resolve?Name=%s&Region=%s&Zone=%s", in.lookup, host, in.region, in.zone))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var found struct{ Addresses []string }
	if err := json.NewDecoder(resp.Body).Decode(&found); err != nil || len(found.Addresses) == 0 {
		return nil, fmt.Errorf("%w: no address in the directory's answer: %w", errNotRun, err)
	}
	nc, err := net.DialTimeout("tcp", found.Addresses[0], time.Second)
	if err != nil {
		return nil, err
	}
	return &client{rec: w.rec, nc: nc, br: bufio.NewReader(nc)}, nil
}

// request returns the bytes of a request.
func request(method, path, id, object string) string {
	cookie := ""
	if object != "" {
		cookie = "Cookie: Jacinthramp-Affinity-Key=" + object + "\r\n"
	}
	body := ""
	if method == http.MethodPost {
		body = "order of " + id
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nJacinthramp-Request-Id: %s\r\n%sJacinthramp-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, id, cookie, deadlineMS, len(body), body)
}

// send sends requests at once.
func (c *client) send(requests ...string) error {
	_, err := io.WriteString(c.nc, strings.Join(requests, ""))
	return err
}

// read reads the answer to the request with the given id.
func (c *client) read(id string) answer {
	_ = c.nc.SetReadDeadline(time.Now().Add((deadlineMS + 1000) * time.Millisecond))
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		c.rec.add("client: no answer to %s: %v", id, err)
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	a := answer{status: resp.StatusCode, stamp: resp.Header.Get("Jacinthramp-Response-Stamp"), body: string(body), err: err}
	if err != nil {
		c.rec.add("client: answer to %s is %d, it ends after %d bytes: %v", id, a.status, len(body), err)
	} else {
		c.rec.add("client: answer to %s is %d, stamp %q, %d bytes", id, a.status, a.stamp, len(body))
	}
	return a
}

// do sends one request and reads its answer.
func (c *client) do(method, path, object string) (id string, a answer) {
	id = newID()
	c.rec.add("client: sends %s %s %s", id, method, path)
	if err := c.send(request(method, path, id, object)); err != nil {
		return id, answer{err: err}
	}
	return id, c.read(id)
}

func (c *client) close() { _ = c.nc.Close() }
