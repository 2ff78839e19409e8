package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Header fields of the users' pages.
const (
	headerID       = "Jacinthramp-Request-Id"
	headerDeadline = "Jacinthramp-Deadline-Ms"
	headerStamp    = "Jacinthramp-Response-Stamp"
	headerExpect   = "Jacinthramp-Expect-Instance"
	headerNotRun   = "Jacinthramp-Not-Executed"
	headerServerID = "Jacinthramp-Instance-Id"
	headerLoad     = "Jacinthramp-Server-Load"
)

// server is a sound server of one service.
type server struct {
	w                 *world
	id, service, zone string
	slots             int
	work              time.Duration
	address           string
	born              int64
	// respond writes the response to a request that has run; nil for a plain one.
	respond func(s *server, rw http.ResponseWriter, r *http.Request, body []byte)

	// ran holds the ids of the requests that the server has begun to work on.
	ran idSet

	mu       sync.Mutex
	running  int
	arrived  int
	sequence int64
	state    string
	stopped  chan struct{}
}

// startServer starts a server and its status reports.
func (w *world) startServer(id, service, zone string, work time.Duration, respond func(*server, http.ResponseWriter, *http.Request, []byte)) (*server, error) {
	s := &server{w: w, id: id, service: service, zone: zone, slots: 4, work: work, born: time.Now().UnixMilli(), state: "ready", respond: respond, stopped: make(chan struct{})}
	address, err := w.serve(s)
	if err != nil {
		return nil, err
	}
	s.address = address
	s.report()
	go s.reportLoop()
	w.onClose(func() { close(s.stopped) })
	return s, nil
}

// reportLoop writes the server's entry every heartbeat. Servers report at different moments.
func (s *server) reportLoop() {
	time.Sleep(rand.N(heartbeat))
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-s.stopped:
			return
		case <-t.C:
			s.report()
		}
	}
}

// drain reports that the server drains.
func (s *server) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.report()
}

// leave removes the server's entry; it serves on.
func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = ""
	s.w.putServer(s.id, nil)
}

// report writes the server's entry, unless it has left.
func (s *server) report() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == "" {
		return
	}
	s.sequence++
	s.w.putServer(s.id, map[string]any{
		"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": s.slots,
		"State": s.state, "ColdRemainingS": 0, "Sequence": s.sequence, "born": s.born,
	})
}

func (s *server) acquire() (load string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load = fmt.Sprintf("%d,0,%d", s.running, s.slots)
	s.arrived++
	if s.running >= s.slots {
		return load, false
	}
	s.running++
	return load, true
}

// arrivals returns how many requests have arrived.
func (s *server) arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrived
}

func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set(headerServerID, s.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get(headerID)
	if r.Header.Get(headerExpect) != s.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	load, ok := s.acquire()
	h.Set(headerLoad, load)
	if !ok {
		h.Set(headerNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	s.ran.add(id)
	s.w.logf("server %s (%s) runs %s %s, id %s", s.id, s.service, r.Method, r.URL.Path, id)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.w.logf("server %s: the connection of %s ended while it ran", s.id, id)
		return
	}
	h.Set(headerID, id)
	h.Set(headerStamp, s.service+"."+s.id+"."+id)
	if s.respond != nil {
		s.respond(s, rw, r, body)
		return
	}
	text := "answer of " + s.service + " to " + id
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(rw, text)
}
