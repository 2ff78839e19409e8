package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// calmClients is the number of clients that send requests with bodies, each on a
	// connection of its own, and burstClients that of the further ones in a burst: together
	// 1.7 times as many.
	calmClients  = 112
	burstClients = 78
	// bodyRun is how long the case lasts at most. Calm and bursts take turns.
	bodyRun     = 90 * time.Second
	calmPeriod  = time.Second
	burstPeriod = 3 * time.Second
	// bodyPause is how long a client waits between an answer and its next request.
	bodyPause = time.Millisecond
	// bodyRepeats is how often the id stands in the body of a request.
	bodyRepeats = 120

	// The upstreams have bodySlots slots and work bodyWork on a request. They accept
	// maxConnections connections, or fewer while longQueue requests or more wait.
	bodySlots      = 4
	bodyWork       = 3 * time.Millisecond
	maxConnections = 390
	// longQueueConnections is the number of connections that an upstream accepts while its
	// queue is long.
	longQueueConnections = 12
	longQueue            = 11
)

// wholeBody returns the body that the client sends with a request.
func wholeBody(id string) string { return strings.Repeat(id+" ", bodyRepeats) }

// bodyStealing has many clients come at once with idempotent requests whose bodies come in
// chunks. While their queues are long, the upstreams reset connections beyond the number
// that they accept. Rule: UNASKED.
func bodyStealing(w *world) (broken bool, err error) {
	log := &bodyLog{rec: w.rec}
	for i := range 8 {
		ln, err := net.Listen("tcp", loopback+":0")
		if err != nil {
			return false, err
		}
		u := &upstream{id: fmt.Sprintf("i-7f3a91c%d", i), service: catalogue, zone: zoneOf(i % 2), slots: bodySlots, rec: w.rec, listener: ln}
		w.upstreams = append(w.upstreams, u)
		w.register(u)
		go (&bodyServer{upstream: u, log: log, slot: make(chan struct{}, bodySlots), resets: w.trouble}).serve()
	}
	w.putConfig([]string{catalogue}, []route{{"/stock/", catalogue, kindIdempotent, false, 0}})
	if err := w.startInstances(); err != nil {
		return false, err
	}
	stop := time.Now().Add(bodyRun)
	calm := w.startBodyClients(calmClients, log, stop)
	for time.Now().Before(stop) && !log.isBroken() {
		time.Sleep(calmPeriod)
		if !w.trouble || log.isBroken() {
			continue
		}
		w.rec.add("burst: %d clients more for %v", burstClients, burstPeriod)
		w.startBodyClients(burstClients, log, time.Now().Add(burstPeriod)).Wait()
	}
	calm.Wait()
	log.report()
	return log.isBroken(), nil
}

// startBodyClients starts n clients that send until stop.
func (w *world) startBodyClients(n int, log *bodyLog, stop time.Time) *sync.WaitGroup {
	wg := &sync.WaitGroup{}
	for i := range n {
		wg.Go(func() { w.sendBodies(w.instances[i%len(w.instances)], log, stop) })
	}
	return wg
}

// bodyLog counts what was sent, answered and run.
type bodyLog struct {
	rec *record

	mu                    sync.Mutex
	sent, answered, ended int
	ran, changed, reset   int
}

func (l *bodyLog) count(n *int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*n++
}

// isBroken reports whether a request ran with another body than was sent.
func (l *bodyLog) isBroken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed > 0
}

func (l *bodyLog) report() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rec.add("%d requests sent, %d answered with 200, %d otherwise or not; %d run, %d of them with another body than was sent; %d connections reset", l.sent, l.answered, l.ended, l.ran, l.changed, l.reset)
}

// ranWith records the run of a request at u with a body that arrived whole.
func (l *bodyLog) ranWith(u *upstream, id, body string) {
	l.count(&l.ran)
	if want := wholeBody(id); body != want {
		l.count(&l.changed)
		l.rec.add("upstream %s runs %s with %d bytes in place of %d: %.40q in place of %.40q", u.id, id, len(body), len(want), body, want)
	}
}

// bodyServer runs the requests that reach an upstream.
type bodyServer struct {
	*upstream
	log *bodyLog
	// slot holds an element for each request that is running.
	slot chan struct{}
	// resets is set if the upstream accepts fewer connections while its queue is long.
	resets bool

	connMu         sync.Mutex
	conns, waiting int
}

// serve accepts connections, and resets those beyond the limit.
func (b *bodyServer) serve() {
	for {
		nc, err := b.listener.Accept()
		if err != nil {
			return
		}
		if !b.admit() {
			b.log.count(&b.log.reset)
			_ = nc.(*net.TCPConn).SetLinger(0)
			_ = nc.Close()
			continue
		}
		go b.serveConn(nc)
	}
}

// admit counts a new connection, or returns false if there are too many.
func (b *bodyServer) admit() bool {
	b.connMu.Lock()
	defer b.connMu.Unlock()
	limit := maxConnections
	if b.resets && b.waiting >= longQueue {
		limit = longQueueConnections
	}
	if b.conns >= limit {
		return false
	}
	b.conns++
	return true
}

// addConns and addWaiting change the number of connections and of waiting requests.
func (b *bodyServer) addConns(n int) {
	b.connMu.Lock()
	defer b.connMu.Unlock()
	b.conns += n
}

func (b *bodyServer) addWaiting(n int) {
	b.connMu.Lock()
	defer b.connMu.Unlock()
	b.waiting += n
}

// serveConn runs the requests of one connection whose bodies arrive whole.
func (b *bodyServer) serveConn(nc net.Conn) {
	defer b.addConns(-1)
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("Jacinthramp-Request-Id")
		head := "HTTP/1.1 200 OK\r\nJacinthramp-Instance-Id: " + b.id + "\r\n"
		if r.URL.Path != "/health" {
			b.run(id, string(body))
			head += fmt.Sprintf("Jacinthramp-Request-Id: %s\r\nJacinthramp-Response-Stamp: %s.%s\r\n", id, b.id, id)
		}
		if _, err := io.WriteString(nc, head+"Content-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// run waits for a slot and runs a request.
func (b *bodyServer) run(id, body string) {
	b.addWaiting(1)
	b.slot <- struct{}{}
	b.addWaiting(-1)
	b.log.ranWith(b.upstream, id, body)
	time.Sleep(bodyWork)
	<-b.slot
}

// sendBodies sends requests on kept connections until stop or until the rule is broken.
func (w *world) sendBodies(in *instance, log *bodyLog, stop time.Time) {
	var nc net.Conn
	var br *bufio.Reader
	for time.Now().Before(stop) && !log.isBroken() {
		if nc == nil {
			conn, err := net.DialTimeout("tcp", in.caller, time.Second)
			if err != nil {
				time.Sleep(calmPeriod)
				continue
			}
			nc, br = conn, bufio.NewReader(conn)
		}
		time.Sleep(bodyPause)
		log.count(&log.sent)
		if err := sendChunked(nc, br); err != nil {
			log.count(&log.ended)
			_ = nc.Close()
			nc = nil
			continue
		}
		log.count(&log.answered)
	}
	if nc != nil {
		_ = nc.Close()
	}
}

// sendChunked sends a request with its body in chunks and reads the answer. It returns an
// error if the connection can't be used any longer or the answer is no success.
func sendChunked(nc net.Conn, br *bufio.Reader) error {
	id := newID()
	head := fmt.Sprintf("POST /stock/2f HTTP/1.1\r\nHost: %s\r\nJacinthramp-Request-Id: %s\r\nJacinthramp-Deadline-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n", host, id, deadlineMS)
	body := wholeBody(id)
	half := len(body) / 2
	chunks := fmt.Sprintf("%x\r\n%s\r\n", half, body[:half])
	rest := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body)-half, body[half:])
	if _, err := io.WriteString(nc, head+chunks); err != nil {
		return err
	}
	if _, err := io.WriteString(nc, rest); err != nil {
		return err
	}
	_ = nc.SetReadDeadline(time.Now().Add((deadlineMS + 1000) * time.Millisecond))
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || resp.Close {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
