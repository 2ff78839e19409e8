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

// callers ask the instances and note what they are answered.
type callers struct {
	w    *world
	stop chan struct{}
	wg   sync.WaitGroup

	sent atomic.Int64
	good atomic.Int64
	mu   sync.Mutex
	// refused are the non-idempotent requests that were called not run, and
	// once all that were sent.
	refused []string
	once    []string
	wrong   []string
}

// callerCount is the number of callers, and callerPause their mean pause.
const (
	callerCount = 12
	callerPause = 25 * time.Millisecond
)

// startCallers begins the load.
func startCallers(w *world, seed uint64) *callers {
	c := &callers{w: w, stop: make(chan struct{})}
	for i := range callerCount {
		c.wg.Add(1)
		go c.run(rand.New(rand.NewPCG(seed, uint64(i))), fmt.Sprintf("%d-%d", seed, i))
	}
	return c
}

// end stops the load and waits for the last answers.
func (c *callers) end() {
	close(c.stop)
	c.wg.Wait()
}

// run is one caller. It keeps its connections open, also to an instance that
// is leaving, until that is gone.
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
			c.ask(client, rnd, addresses[rnd.IntN(len(addresses))], fmt.Sprintf("%s-%d", name, n))
		}
	}
}

// resolve asks an instance which to use.
func (c *callers) resolve(rnd *rand.Rand) []string {
	d := c.w.daemons[rnd.IntN(len(c.w.daemons))]
	resp, err := quick.Get("http://" + d.lookup + "/api/resolve?Name=" + routeHost + "&Region=" + d.region + "&Zone=" + d.zone)
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

// ask sends one request and checks its answer.
func (c *callers) ask(client *http.Client, rnd *rand.Rand, address, id string) {
	method, path, body := http.MethodGet, pathRead+id, ""
	if rnd.IntN(3) == 0 {
		method, path, body = http.MethodPost, pathBook+id, "body of "+id
		c.note(&c.once, id)
	}
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err)
	}
	r.GetBody = nil // the library must not send the request again
	r.Host = routeHost
	r.Header.Set(standin.HeaderID, id)
	r.Header.Set(standin.HeaderDeadline, "2000")
	r.AddCookie(&http.Cookie{Name: standin.CookieAffinityKey, Value: strconv.Itoa(rnd.IntN(20))})
	c.sent.Add(1)
	resp, err := client.Do(r)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	c.check(resp, id, standin.ResponseBody(id, path)+body, string(b), method)
}

// check judges one whole answer.
func (c *callers) check(resp *http.Response, id, want, got, method string) {
	switch {
	case resp.StatusCode == http.StatusOK:
		stamp := resp.Header.Get(standin.HeaderResponseStamp)
		if got != want || !strings.HasSuffix(stamp, "."+id) {
			c.note(&c.wrong, fmt.Sprintf("%s: body %q with the stamp %q", id, got, stamp))
			return
		}
		c.good.Add(1)
	case resp.StatusCode == http.StatusServiceUnavailable && method == http.MethodPost:
		c.note(&c.refused, id)
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		c.note(&c.wrong, fmt.Sprintf("%s: status %d", id, resp.StatusCode))
	}
}

func (c *callers) note(list *[]string, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*list = append(*list, text)
}
