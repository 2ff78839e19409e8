package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// defaultWork is how long an upstream works on a request that names no time.
const defaultWork = 5 * time.Millisecond

// upstream is an upstream of one service. It answers as the users' pages say; the
// hooks add the faults of a scenario.
type upstream struct {
	id, service, zone string
	slots             int
	rec               *record
	listener          net.Listener

	// beforeAnswer returns bytes to send in front of the answer to a request.
	beforeAnswer func(id string) []byte
	// doubleRefusal reports whether the refusal of a request is sent a second time, late:
	// where the answer to the next request on the connection is expected.
	doubleRefusal func(id string) bool

	mu       sync.Mutex
	slow     int
	running  int
	sequence int
	answers  int
	spoilt   int
	runs     map[string]int
	started  map[string]time.Time
	arrivals map[string]time.Time
}

// addUpstream starts an upstream and registers it in the store.
func (w *world) addUpstream(id, service, zone string, slots int) (*upstream, error) {
	ln, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	u := &upstream{
		id: id, service: service, zone: zone, slots: slots, rec: w.rec, listener: ln,
		runs: make(map[string]int), started: make(map[string]time.Time), arrivals: make(map[string]time.Time),
	}
	w.upstreams = append(w.upstreams, u)
	w.register(u)
	go u.serve()
	return u, nil
}

// entry returns what the upstream writes to the store.
func (u *upstream) entry() map[string]any {
	u.sequence++
	return map[string]any{
		"Service": u.service, "Address": u.listener.Addr().String(), "Zone": u.zone, "Version": "v1", "Slots": u.slots,
		"State": "ready", "ColdRemainingS": 0, "Sequence": u.sequence, "born": 1764000000000,
	}
}

func (w *world) register(u *upstream) { w.store.Put("servers", u.id, u.entry()) }

func (u *upstream) serve() {
	for {
		nc, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serveConn(nc)
	}
}

// serveConn serves one request after the other.
func (u *upstream) serveConn(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	var late []byte
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if late != nil {
			u.rec.add("upstream %s: second copy of the earlier refusal sent", u.id)
			_, _ = nc.Write(late)
			late = nil
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		answer, doubled := u.answer(r)
		if doubled {
			late = answer
		}
		if _, err := nc.Write(answer); err != nil {
			return
		}
	}
}

// answer returns the answer to r and whether it is to be sent again later.
func (u *upstream) answer(r *http.Request) (answer []byte, doubled bool) {
	if r.URL.Path == "/health" {
		return []byte("HTTP/1.1 200 OK\r\nJacinthramp-Instance-Id: " + u.id + "\r\nContent-Length: 0\r\n\r\n"), false
	}
	id := r.Header.Get("Jacinthramp-Request-Id")
	u.mu.Lock()
	u.answers++
	u.arrivals[id] = time.Now()
	u.mu.Unlock()
	if expected := r.Header.Get("Jacinthramp-Expect-Instance"); expected != "" && expected != u.id {
		u.rec.add("upstream %s: %s expects %s: 421", u.id, id, expected)
		return []byte("HTTP/1.1 421 Misdirected Request\r\nJacinthramp-Instance-Id: " + u.id + "\r\nContent-Length: 0\r\n\r\n"), false
	}
	if !u.begin(id) {
		doubled = u.doubleRefusal != nil && u.doubleRefusal(id)
		u.rec.add("upstream %s (%s): full, refuses %s", u.id, u.service, id)
		return []byte("HTTP/1.1 503 Service Unavailable\r\nJacinthramp-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"), doubled
	}
	u.rec.add("upstream %s (%s): runs %s %s %s", u.id, u.service, id, r.Method, r.RequestURI)
	time.Sleep(queryMS(r, "work", defaultWork) * u.slowFactor())
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
	body := bodyOf(id, int(queryInt(r, "size", 40)))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nJacinthramp-Request-Id: %s\r\nJacinthramp-Response-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n", id, u.id, id, len(body))
	if u.beforeAnswer != nil {
		if extra := u.beforeAnswer(id); extra != nil {
			u.rec.add("upstream %s: sends %q before its answer to %s", u.id, extra, id)
			return append(extra, head+body...), false
		}
	}
	return []byte(head + body), false
}

// begin takes a slot and counts the run. It returns false if the upstream is full.
func (u *upstream) begin(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running >= u.slots {
		return false
	}
	u.running++
	u.runs[id]++
	u.started[id] = time.Now()
	return true
}

// setSlow makes the upstream work factor times as long.
func (u *upstream) setSlow(factor int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slow = factor
}

func (u *upstream) slowFactor() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(max(1, u.slow))
}

// runsOf returns how often the upstream has run a request.
func (u *upstream) runsOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// busy returns the number of requests that are running.
func (u *upstream) busy() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running
}

// bodyOf returns the body of the answer to a request.
func bodyOf(id string, size int) string {
	out := make([]byte, 0, size+len(id)+1)
	for len(out) < size {
		out = append(out, id...)
		out = append(out, ' ')
	}
	return string(out)
}

func queryInt(r *http.Request, name string, fallback int64) int64 {
	if v, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64); err == nil {
		return v
	}
	return fallback
}

func queryMS(r *http.Request, name string, fallback time.Duration) time.Duration {
	return time.Duration(queryInt(r, name, fallback.Milliseconds())) * time.Millisecond
}
