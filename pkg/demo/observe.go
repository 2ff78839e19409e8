package demo

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/standin/exchange"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

const (
	// observeInterval is the time between two requests of an observer.
	observeInterval = 25 * time.Millisecond
	// observeTimeout bounds one of them.
	observeTimeout = 2 * time.Second
	// maxRefusalBytes bounds what is read of a refusal.
	maxRefusalBytes = 64 << 10
)

// observer is a caller that asks every instance for one route, again and
// again, and notes when each began to serve it and whether one stopped.
type observer struct {
	route  string
	client *http.Client
	wg     conc.WaitGroup
	stop   context.CancelFunc

	mu       sync.Mutex
	since    map[string]time.Time
	reverted map[string]bool
	asked    int
	wrong    int
}

// observe starts an observer of the instances at addresses.
func observe(ctx context.Context, route string, addresses []string) *observer {
	ctx, stop := context.WithCancel(ctx)
	o := &observer{
		route:  route,
		client: &http.Client{Transport: &http.Transport{}, Timeout: observeTimeout},
		stop:   stop, since: map[string]time.Time{}, reverted: map[string]bool{},
	}
	for _, a := range addresses {
		o.wg.Go(func() { o.watch(ctx, a) })
	}
	return o
}

// watch asks one instance until ctx ends.
func (o *observer) watch(ctx context.Context, address string) {
	tick := time.NewTicker(observeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			o.ask(ctx, address)
		}
	}
}

// ask sends one request for the route.
func (o *observer) ask(ctx context.Context, address string) {
	sent := exchange.RequestSpec{Nonce: uuid.NewString(), Method: http.MethodGet, Path: "/" + o.route + "/x"}
	req, err := http.NewRequestWithContext(ctx, sent.Method, "http://"+address+sent.Path, nil)
	if err != nil {
		return
	}
	sent.SetHeader(req.Header)
	resp, err := o.client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	o.note(address, sent, resp)
}

// note takes in one answer.
func (o *observer) note(address string, sent exchange.RequestSpec, resp *http.Response) {
	completed := resp.Header.Get(wire.HeaderOutcome) == string(fault.Completed) && resp.StatusCode == http.StatusOK
	unknown := resp.Header.Get(wire.HeaderKind) == fault.KindUnknownRoute.String()
	var wrong bool
	if completed {
		wrong = exchange.IsWrongResponse(exchange.CheckResponse(sent, resp))
	} else {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusalBytes))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked++
	_, served := o.since[address]
	switch {
	case wrong:
		o.wrong++
	case completed && !served:
		o.since[address] = time.Now()
	case unknown && served:
		o.reverted[address] = true
	}
}

// served is how many instances serve the route, and since when all of them do.
func (o *observer) served() (n int, last time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, at := range o.since {
		if at.After(last) {
			last = at
		}
	}
	return len(o.since), last
}

// end stops the observer.
func (o *observer) end() {
	o.stop()
	o.wg.Wait()
	o.client.CloseIdleConnections()
}

// gauge samples how much of each region's slots is free.
type gauge struct {
	world *world
	wg    conc.WaitGroup
	stop  context.CancelFunc

	samples int
	// lowest and sum are fractions of free slots by region.
	lowest map[string]float64
	sum    map[string]float64
	// over counts the samples with more requests than slots, by region.
	over map[string]int
}

// sampleInterval is the time between two samples.
const sampleInterval = 20 * time.Millisecond

// measure starts a gauge of w.
func measure(ctx context.Context, w *world) *gauge {
	ctx, stop := context.WithCancel(ctx)
	g := &gauge{world: w, stop: stop, lowest: map[string]float64{}, sum: map[string]float64{}, over: map[string]int{}}
	g.wg.Go(func() { g.run(ctx) })
	return g
}

func (g *gauge) run(ctx context.Context) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.sample()
		}
	}
}

// sample takes the targets' own counts.
func (g *gauge) sample() {
	present, slots := map[string]int{}, map[string]int{}
	for i, st := range g.world.group.Stats() {
		t := g.world.targets[i]
		present[t.region] += st.Running + st.Queued
		slots[t.region] += t.slots
	}
	for region, all := range slots {
		free := 1 - float64(present[region])/float64(all)
		if old, ok := g.lowest[region]; !ok || free < old {
			g.lowest[region] = free
		}
		g.sum[region] += free
		if free < 0 {
			g.over[region]++
		}
	}
	g.samples++
}

// end stops the gauge; its figures may be read afterwards.
func (g *gauge) end() {
	g.stop()
	g.wg.Wait()
}
