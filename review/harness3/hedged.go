package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["hedged"] = hedged }

const (
	hedgedClients  = 100
	hedgedDuration = 100 * time.Second
	// usualWork is the work of a request, within workJitter.
	usualWork  = 20 * time.Millisecond
	workJitter = time.Millisecond
	// Upstreams are slow for spellLength, with spellPause in between: once in stallEvery, the
	// database that they share answers nothing for stallLength.
	spellLength = 9 * time.Second
	spellPause  = 2 * time.Second
	stallEvery  = 600 * time.Millisecond
	stallLength = 200 * time.Millisecond
)

// database is what the upstreams of the service share.
type database struct {
	mu sync.Mutex
	// stalled is closed at the end of a stall; nil without one.
	stalled chan struct{}
}

// stallNowAndThen stalls the database in spells until stop is closed.
func (d *database) stallNowAndThen(stop <-chan struct{}) {
	for {
		for end := time.Now().Add(spellLength); time.Now().Before(end); {
			d.stall()
			time.Sleep(stallEvery - stallLength)
		}
		select {
		case <-stop:
			return
		case <-time.After(spellPause):
		}
	}
}

// stall stalls the database for stallLength.
func (d *database) stall() {
	stalled := make(chan struct{})
	d.mu.Lock()
	d.stalled = stalled
	d.mu.Unlock()
	time.Sleep(stallLength)
	d.mu.Lock()
	d.stalled = nil
	d.mu.Unlock()
	close(stalled)
}

// read reads from the database. It reports false if the request has ended before.
func (d *database) read(a *arrival) bool {
	if !a.work(usualWork - workJitter + rand.N(2*workJitter)) {
		return false
	}
	d.mu.Lock()
	stalled := d.stalled
	d.mu.Unlock()
	if stalled == nil {
		return true
	}
	select {
	case <-stalled:
		return true
	case <-a.r.Context().Done():
		return false
	}
}

// usualFields are the fields of the upstreams' responses, 103 Early Hints among them.
var usualFields = http.Header{
	"Cache-Control":             {"private, max-age=5"},
	"Content-Language":          {"sl"},
	"Content-Security-Policy":   {"default-src 'self'"},
	"Etag":                      {"\"4f9c\""},
	"Link":                      {"</style.css>; rel=preload; as=style", "</app.js>; rel=preload; as=script"},
	"Referrer-Policy":           {"same-origin"},
	"Server":                    {"desk/4.1"},
	"Strict-Transport-Security": {"max-age=31536000"},
	"Vary":                      {"Accept-Language"},
	"X-Content-Type-Options":    {"nosniff"},
	"X-Frame-Options":           {"DENY"},
}

// hedged has clients with kept connections send idempotent requests to a service whose upstreams
// send 103 Early Hints as soon as their database has answered, and then the answer. With trouble,
// the upstreams turn slow: their database stalls now and then.
func hedged(w *world, trouble bool) bool {
	var mu sync.Mutex
	ranAt := map[string]string{}
	var twice atomic.Int64
	db, stop := &database{}, make(chan struct{})
	if trouble {
		go db.stallNowAndThen(stop)
	}
	defer close(stop)
	w.handle = func(a *arrival) {
		mu.Lock()
		if ranAt[a.id] != "" {
			twice.Add(1)
		}
		ranAt[a.id] = a.u.id
		mu.Unlock()
		if !db.read(a) {
			return
		}
		for field, values := range usualFields {
			a.w.Header()[field] = values
		}
		a.w.WriteHeader(http.StatusEarlyHints)
		a.answer("read " + a.id)
	}
	w.putConfig(1, []string{"desk"}, []route{{name: "read", prefix: "/read/", kind: "idempotent", service: "desk", timeout: 2.5}})
	for i := range 12 {
		w.startUpstream("desk", zoneRegions[i%6][0], 32)
	}
	w.startMachines(1)
	time.Sleep(stableWindow)
	m := w.machines[0]
	var wg sync.WaitGroup
	var sent, lost atomic.Int64
	end := time.Now().Add(hedgedDuration)
	for i := range hedgedClients {
		time.Sleep(10 * time.Millisecond)
		wg.Go(func() {
			n, unanswered := m.sendKept(i, end)
			sent.Add(n)
			if unanswered == "" {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			w.log.printf("%s, on a kept connection, got no answer; it ran at %q", unanswered, ranAt[unanswered])
			if ranAt[unanswered] != "" {
				lost.Add(1)
			}
		})
	}
	wg.Wait()
	w.log.printf("%d requests sent, %d of them without a success; %d reached a second upstream", sent.Load(), refused.Load(), twice.Load())
	if lost.Load() > 0 {
		// A process that ends takes a moment to write why.
		time.Sleep(time.Second)
	}
	if m.hasEnded() {
		w.log.printf("the process of %s has ended by itself: %v", m.name, m.cmd.ProcessState)
		out, _ := os.ReadFile(filepath.Join(w.dir, m.name+".log"))
		if i := strings.Index(string(out), "fatal error"); i >= 0 {
			w.log.printf("%s", string(out)[i:min(len(out), i+1600)])
		}
	}
	w.log.printf("%d requests were passed on to sound upstreams from kept connections that were closed without an answer to them (at most %d are allowed)", lost.Load(), lostAllowed)
	return lost.Load() <= lostAllowed
}

// refused counts the requests without a success.
var refused atomic.Int64

// refusedPause is how long a client waits after a refusal.
const refusedPause = 500 * time.Millisecond

// sendKept sends one request after the other on a kept connection, until end or until one gets no
// answer. It returns how many it has sent, and the id of that one unless it was the first on its
// connection.
func (m *machine) sendKept(client int, end time.Time) (sent int64, unanswered string) {
	c, err := net.DialTimeout("tcp", m.addr["caller"], time.Second)
	if err != nil {
		cannotRun("cannot connect: %v", err)
	}
	defer c.Close()
	br := bufio.NewReader(c)
	for time.Now().Before(end) {
		r := &request{method: "GET", path: fmt.Sprintf("/read/%d", client), id: newID("read"), deadline: 2500 * time.Millisecond}
		_ = c.SetDeadline(time.Now().Add(r.deadline + time.Second))
		if _, err := c.Write(r.bytes()); err != nil {
			return sent, ""
		}
		sent++
		got := readAnswer(br, r.method)
		if got.err != nil {
			if sent == 1 {
				return sent, ""
			}
			return sent, r.id
		}
		if got.status != http.StatusOK {
			refused.Add(1)
			time.Sleep(refusedPause)
		}
	}
	return sent, ""
}
