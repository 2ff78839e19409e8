package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["left-upstreams"] = leftUpstreams }

const (
	// drainBound is DrainS.
	drainBound = 2500 * time.Millisecond
	// copyAge is how old the copy is from which the store comes back, and awayFor how long it is
	// away before.
	copyAge = 2500 * time.Millisecond
	awayFor = 300 * time.Millisecond
	// killAfter and removedAfter are the times after the store's return at which machines are
	// killed and the upstreams' removals are written again.
	killAfter    = time.Second
	removedAfter = 1200 * time.Millisecond
	// restartDelay is the time after which a killed process is started again.
	restartDelay = 400 * time.Millisecond
	// pause is the mean time between two bookings of a client.
	pause = 1500 * time.Millisecond
	// servesOn is how long the upstreams serve after their removals were written again.
	servesOn = 20 * time.Second
)

// readers records which machine has read the feeds last, by region.
type readers struct {
	mu   sync.Mutex
	last map[string]*machine
}

// serveStore gives m an address of the store of its own, at which its reads of the feed of upstreams
// are recorded.
func (rs *readers) serveStore(m *machine) {
	l := listen()
	m.storeURL = "http://" + l.Addr().String()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/api/rows-feed") && r.URL.Query().Get("Table") == "servers" {
				rs.mu.Lock()
				rs.last[m.region] = m
				rs.mu.Unlock()
			}
			m.world.store.ServeHTTP(w, r)
		}))
	}()
}

func (rs *readers) of(region string) *machine {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.last[region]
}

// leavers are upstreams that leave, with the requests that reached them.
type leavers struct {
	mu  sync.Mutex
	ids map[string]bool
	// removed is when their removal was acknowledged last, and calmFrom when machines that were not
	// killed are in touch again.
	removed, calmFrom time.Time
	// sentTo is the machine to which each request was sent, and late counts the requests of each
	// machine in touch that reached the upstreams too late.
	sentTo map[string]*machine
	late   map[string]int
}

// arrived records a request that has reached a.u.
func (v *leavers) arrived(w *world, a *arrival) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.sentTo[a.id]
	if !v.ids[a.u.id] || v.removed.IsZero() || m == nil || v.calmFrom.IsZero() {
		return
	}
	inTouch := a.at.After(v.calmFrom) && a.at.Sub(m.started) > stableWindow
	if !inTouch || a.at.Sub(v.removed) <= drainBound {
		return
	}
	v.late[m.name]++
	w.log.printf("booking %s, sent to %s, reaches %s, %.1f s after its removal was acknowledged", a.id, m.name, a.u.id, a.at.Sub(v.removed).Seconds())
}

// leftUpstreams has three upstreams leave. A second later the store comes back from a copy that still
// has them, and machines are killed. Without trouble, there is no drill and no kill.
func leftUpstreams(w *world, trouble bool) bool {
	v := &leavers{ids: map[string]bool{}, sentTo: map[string]*machine{}, late: map[string]int{}}
	w.handle = func(a *arrival) {
		v.arrived(w, a)
		w.otherRuns.Add(1)
		if a.work(30 * time.Millisecond) {
			a.answer("done " + a.id)
		}
	}
	w.store.era = 1
	w.putConfig(1, []string{"ledger"}, []route{{name: "book", prefix: "/lohu930/", kind: "non_idempotent", service: "ledger", timeout: 2.5}})
	var upstreams []*upstream
	for i := range 20 {
		upstreams = append(upstreams, w.startUpstream("ledger", zoneRegions[i%len(zoneRegions)][0], 4, 0))
	}
	rs := &readers{last: map[string]*machine{}}
	for i := range 6 {
		rs.serveStore(w.addMachine(i))
	}
	for _, m := range w.machines {
		m.start()
	}
	for _, m := range w.machines {
		m.awaitReady()
	}
	end := v.sendBookings(w)
	time.Sleep(2 * stableWindow)
	before := w.store.copy()
	time.Sleep(copyAge - time.Second)
	leaving := upstreams[:3]
	v.leave(w, leaving)
	time.Sleep(time.Second - awayFor)
	if trouble {
		w.log.printf("the store is away")
		w.store.drill(awayFor, before)
		w.log.printf("the store is back from a copy %v old", copyAge)
		killReaders(w, rs, func() { v.remove(w, leaving) }, upstreams[3:])
	} else {
		time.Sleep(awayFor + killAfter)
	}
	v.mu.Lock()
	v.calmFrom = time.Now().Add(stableWindow)
	v.mu.Unlock()
	time.Sleep(servesOn)
	end()
	total := 0
	for name, n := range v.late {
		w.log.printf("%s, in touch, has sent %d requests to upstreams that had left", name, n)
		total += n
	}
	return total == 0
}

// leave has upstreams leave: their entries are removed, and they go on serving.
func (v *leavers) leave(w *world, leaving []*upstream) {
	v.mu.Lock()
	for _, u := range leaving {
		v.ids[u.id] = true
		u.leaving.Store(true)
	}
	v.mu.Unlock()
	v.remove(w, leaving)
}

// remove removes the entries of upstreams.
func (v *leavers) remove(w *world, leaving []*upstream) {
	for _, u := range leaving {
		w.store.put("servers", u.id, nil)
		w.log.printf("the removal of the entry of %s is acknowledged", u.id)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.removed = time.Now()
}

// killReaders writes again what upstreams wrote since the copy, and kills the machine of each region
// that reads the feeds, before removed is called. They are started again.
func killReaders(w *world, rs *readers, removed func(), others []*upstream) {
	for _, u := range others {
		time.AfterFunc(time.Duration(rand.Int64N(int64(time.Second))), u.report)
	}
	time.Sleep(killAfter)
	var killed []*machine
	for _, region := range []string{"osrednja", "stajerska", "primorska"} {
		if m := rs.of(region); m != nil {
			m.signal(syscall.SIGKILL)
			<-m.ended
			w.log.printf("%s is killed", m.name)
			killed = append(killed, m)
		}
	}
	time.Sleep(removedAfter - killAfter)
	removed()
	time.Sleep(restartDelay - (removedAfter - killAfter))
	for _, m := range killed {
		m.start()
		w.log.printf("%s is started again", m.name)
	}
}

// sent returns a function that records to which machine a request is sent.
func (v *leavers) sent(w *world) func(id, address string) {
	return func(id, address string) {
		v.mu.Lock()
		defer v.mu.Unlock()
		for _, m := range w.machines {
			if m.addr["caller"] == address {
				v.sentTo[id] = m
			}
		}
	}
}

// sendBookings has clients send bookings until the function that it returns is called.
func (v *leavers) sendBookings(w *world) (end func()) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	stop := make(chan struct{})
	for _, m := range w.machines {
		for range othersPerZone {
			wg.Go(func() {
				c := &client{world: w, zone: m.zone, region: m.region, onSend: v.sent(w)}
				for !isClosed(stop) {
					r := booking
					r.id, r.deadline = newID("book"), 2500*time.Millisecond
					r.body += " " + r.id
					got := c.send(&r)
					w.log.printf("booking %s: %v", r.id, got)
					mu.Lock()
					statuses[got.kind()]++
					mu.Unlock()
					time.Sleep(pause/2 + time.Duration(rand.Int64N(int64(pause))))
				}
			})
		}
	}
	return func() {
		close(stop)
		wg.Wait()
		w.log.printf("bookings: %d runs, answered %s", w.otherRuns.Load(), fmt.Sprint(statuses))
	}
}
