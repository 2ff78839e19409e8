package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// exchangeTimeout is how long a client waits for one answer.
const exchangeTimeout = 4 * time.Second

// keptClient sends requests on one connection as long as that is kept. It sends no request
// twice.
type keptClient struct {
	address string
	conn    net.Conn
	br      *bufio.Reader
	// used counts the answers on the connection.
	used int
}

// answer is what became of one request.
type answer struct {
	status int
	stamp  string
	body   string
	// kept is set if the connection had carried an answer before, and closed if it ended
	// without an answer to this request.
	kept, closed bool
	err          error
}

// disconnect closes the connection.
func (c *keptClient) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection unless there is one.
func (c *keptClient) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.br, c.used = conn, bufio.NewReader(conn), 0
	return nil
}

// write writes one request with the deadline of the client.
func (c *keptClient) write(method, path, id, body string, deadline time.Duration) error {
	length := ""
	if method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n%s", method, path, hostName, headerID, id, headerDeadline, deadline.Milliseconds(), length, body)
	return err
}

// do sends one request and reads its answer.
func (c *keptClient) do(method, path, id, body string, deadline time.Duration) (a answer) {
	if a.err = c.connect(); a.err != nil {
		return a
	}
	a.kept = c.used > 0
	_ = c.conn.SetDeadline(time.Now().Add(exchangeTimeout))
	if a.err = c.write(method, path, id, body, deadline); a.err == nil {
		c.read(&a)
	}
	if a.err != nil {
		a.closed = !errors.Is(a.err, os.ErrDeadlineExceeded)
		c.disconnect()
	}
	return a
}

// read reads the final answer; interim ones before it are skipped.
func (c *keptClient) read(a *answer) {
	for {
		resp, err := http.ReadResponse(c.br, nil)
		if err != nil {
			a.err = err
			return
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.stamp, a.body, a.err = resp.StatusCode, resp.Header.Get(headerStamp), string(text), err
		c.used++
		if resp.Close {
			c.disconnect()
		}
		return
	}
}
