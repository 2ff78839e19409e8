package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/platform/standin"
)

// callers send requests to the instances and record the responses.
type callers struct {
	dep  *deployment
	stop chan struct{}
	wg   sync.WaitGroup

	sent      atomic.Int64
	succeeded atomic.Int64
	mu        sync.Mutex
	// notRun holds the ids of the non-idempotent requests that were reported as
	// not run, and nonIdempotent the ids of all that were sent. wrongResponses
	// describes responses that violate the protocol.
	notRun         []string
	nonIdempotent  []string
	wrongResponses []string
	// requests holds the callers' record of each request, by id.
	requests map[string]callerRecord
}

// callerCount is the number of callers, and callerPause the mean pause between
// two requests of a caller.
const (
	callerCount = 12
	callerPause = 25 * time.Millisecond
)

// maxResponseBytes is far more than the servers send in a response that is not endless.
const maxResponseBytes = 64 << 10

// startCallers starts the load.
func startCallers(dep *deployment, seed uint64) *callers {
	c := &callers{dep: dep, stop: make(chan struct{}), requests: map[string]callerRecord{}}
	for i := range callerCount {
		c.wg.Add(1)
		go c.run(rand.New(rand.NewPCG(seed, uint64(i))), fmt.Sprintf("%d-%d", seed, i))
	}
	return c
}

// stopAndWait stops the load and waits for the last responses.
func (c *callers) stopAndWait() {
	close(c.stop)
	c.wg.Wait()
}

// run is the loop of one caller. It keeps its connections open, also those to an
// instance that is shutting down, until the instance closes them.
func (c *callers) run(rnd *rand.Rand, name string) {
	defer c.wg.Done()
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	var addresses []string
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(rnd.Int64N(int64(2 * callerPause)))):
		}
		if n%20 == 0 || len(addresses) == 0 {
			if got := c.resolve(rnd); len(got) > 0 {
				addresses = got
			}
		}
		if len(addresses) > 0 {
			address := addresses[rnd.IntN(len(addresses))]
			c.sendRequest(client, rnd, address, requestID(fmt.Sprintf("%s-%d", name, n), c.dep.instanceAt(address)))
		}
	}
}

// resolve looks up the addresses of the instances to use.
func (c *callers) resolve(rnd *rand.Rand) []string {
	d := c.dep.daemons[rnd.IntN(len(c.dep.daemons))]
	resp, err := shortClient.Get("http://" + d.lookup + "/api/resolve?Name=" + routeHost + "&Region=" + d.region + "&Zone=" + d.zone)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var a struct{ Addresses []string }
	if json.NewDecoder(resp.Body).Decode(&a) != nil {
		return nil
	}
	return a.Addresses
}

// sendRequest sends one request and checks the response.
func (c *callers) sendRequest(client *http.Client, rnd *rand.Rand, address, id string) {
	method, path, body := http.MethodGet, pathRead+id, ""
	if rnd.IntN(3) == 0 {
		method, path, body = http.MethodPost, pathBook+id, "body of "+id
		c.record(&c.nonIdempotent, id)
	}
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err)
	}
	r.GetBody = nil // prevents net/http from sending the request again
	r.Host = routeHost
	r.Header.Set(standin.HeaderID, id)
	r.Header.Set(standin.HeaderDeadline, "2000")
	r.AddCookie(&http.Cookie{Name: standin.CookieAffinityKey, Value: strconv.Itoa(rnd.IntN(20))})
	c.sent.Add(1)
	c.updateRecord(id, func(q *callerRecord) { q.sent = time.Now() })
	resp, err := client.Do(r)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if server, ok := strings.CutSuffix(resp.Header.Get(standin.HeaderResponseStamp), "."+id); ok {
		c.updateRecord(id, func(q *callerRecord) { q.received, q.server = time.Now(), server })
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil || len(b) == maxResponseBytes {
		return
	}
	c.checkResponse(resp, id, standin.ResponseBody(id, path)+body, string(b), method)
}

// checkResponse checks and counts one complete response.
func (c *callers) checkResponse(resp *http.Response, id, want, got, method string) {
	switch {
	case resp.StatusCode == http.StatusOK:
		stamp := resp.Header.Get(standin.HeaderResponseStamp)
		if got != want || !strings.HasSuffix(stamp, "."+id) {
			c.record(&c.wrongResponses, fmt.Sprintf("%s: unexpected body %q or stamp %q", id, got, stamp))
			return
		}
		c.succeeded.Add(1)
	case resp.StatusCode == http.StatusServiceUnavailable && method == http.MethodPost:
		c.record(&c.notRun, id)
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		c.record(&c.wrongResponses, fmt.Sprintf("%s: unexpected status %d", id, resp.StatusCode))
	}
}

func (c *callers) record(list *[]string, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*list = append(*list, text)
}

// updateRecord applies edit to the callers' record of the request id.
func (c *callers) updateRecord(id string, edit func(*callerRecord)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.requests[id]
	edit(&q)
	c.requests[id] = q
}
