package main

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["pipelined"] = pipelined }

// lostAllowed is how many requests from kept connections a machine may lose.
const lostAllowed = 3

const (
	pipelinedClients = 40
	// pipelinedBefore is how long clients send before the trouble, which lasts for troubleLength.
	pipelinedBefore = 2 * time.Second
	troubleLength   = 5 * time.Second
	// brokenUpstreams of the upstreams break off one in brokenAnswers of their answers.
	brokenUpstreams = 0.6
	brokenAnswers   = 0.05
	partPause       = 300 * time.Millisecond
)

// pipelined has clients read answers that come in two parts, and send two further requests in
// the meantime, as clients do that pipeline. With trouble, some upstreams break off some of these
// answers before the second part. The further requests go to sound upstreams of another service.
func pipelined(w *world, trouble bool) bool {
	var mu sync.Mutex
	arrived := map[string]bool{}
	var faulty atomic.Bool
	broken := map[string]bool{}
	w.handle = func(a *arrival) {
		mu.Lock()
		arrived[a.id] = true
		isBroken := broken[a.u.id]
		mu.Unlock()
		if a.u.service == "booking" {
			if a.work(partPause) {
				a.answer("booked " + a.id)
			} else {
				w.log.printf("%s: its connection to %s has ended while it ran", a.id, a.u.id)
			}
			return
		}
		_, _ = io.WriteString(a.w, "first part")
		_ = http.NewResponseController(a.w).Flush()
		a.work(partPause)
		if faulty.Load() && isBroken && rand.Float64() < brokenAnswers {
			w.log.printf("%s breaks off its answer to %s", a.u.id, a.id)
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(a.w, ", second part")
	}
	w.putConfig(1, []string{"reading", "booking"}, []route{
		{name: "read", prefix: "/read/", kind: "idempotent", service: "reading", timeout: 2.5},
		{name: "look", prefix: "/look/", kind: "idempotent", service: "booking", timeout: 2.5},
	})
	for i := range 20 {
		u := w.startUpstream("reading", zoneRegions[i%len(zoneRegions)][0], 6)
		broken[u.id] = float64(i) < 20*brokenUpstreams
		w.startUpstream("booking", zoneRegions[i%len(zoneRegions)][0], 12)
	}
	w.startMachines(1)
	time.Sleep(stableWindow)
	hasArrived := func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		return arrived[id]
	}
	var wg sync.WaitGroup
	var plays, lost atomic.Int64
	end := time.Now().Add(pipelinedBefore + troubleLength)
	for i := range pipelinedClients {
		time.Sleep(10 * time.Millisecond)
		wg.Go(func() {
			for time.Now().Before(end) {
				plays.Add(1)
				lost.Add(w.pipelinedOnce(i == 0, hasArrived))
			}
		})
	}
	time.Sleep(pipelinedBefore)
	faulty.Store(trouble)
	wg.Wait()
	w.log.printf("%d plays; %d requests were passed on to sound upstreams from kept connections that were closed without an answer to them (at most %d are allowed)", plays.Load(), lost.Load(), lostAllowed)
	return lost.Load() <= lostAllowed
}

// pipelinedOnce plays one kept connection, and records all of it or only what fails. It returns how
// many of the further requests reached an upstream and got no answer.
func (w *world) pipelinedOnce(all bool, arrived func(id string) bool) (lost int64) {
	printf := func(format string, args ...any) {
		if all {
			w.log.printf(format, args...)
		}
	}
	c, err := net.DialTimeout("tcp", w.machines[0].addr["caller"], time.Second)
	if err != nil {
		cannotRun("cannot connect: %v", err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	br := bufio.NewReader(c)
	newRequest := func(kind string) *request {
		return &request{method: "GET", path: "/" + kind + "/" + newID("object"), id: newID(kind), deadline: 2500 * time.Millisecond}
	}
	write := func(r *request) {
		printf("sent %s", r.id)
		_, _ = c.Write(r.bytes())
	}
	kept := newRequest("look")
	write(kept)
	printf("answer to %s: %v", kept.id, readAnswer(br, "GET"))
	first := newRequest("read")
	write(first)
	resp, err := http.ReadResponse(br, &http.Request{Method: "GET"})
	if err != nil {
		printf("answer to %s: %v", first.id, err)
		return 0
	}
	further := []*request{newRequest("look"), newRequest("look")}
	for _, r := range further {
		write(r)
	}
	body, err := io.ReadAll(resp.Body)
	all = all || err != nil
	printf("answer to %s: %d, %q, error %v", first.id, resp.StatusCode, strings.TrimSpace(string(body)), err)
	for _, r := range further {
		got := readAnswer(br, "GET")
		printf("answer to %s: %v; it had reached an upstream: %t", r.id, got, arrived(r.id))
		if got.err != nil && arrived(r.id) {
			lost++
		}
	}
	return lost
}
