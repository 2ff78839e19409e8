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
	// observeInterval is the time between two requests of an observer to one
	// instance.
	observeInterval = 25 * time.Millisecond
	// observeTimeout is the timeout of one such request.
	observeTimeout = 2 * time.Second
	// maxRefusalBytes is the largest part of a refusal's body that is read.
	maxRefusalBytes = 64 << 10
)

// observer is a caller that sends requests for one route to every instance at
// regular intervals. It records when each instance first served the route and
// whether one later stopped serving it.
type observer struct {
	route  string
	client *http.Client
	wg     conc.WaitGroup
	cancel context.CancelFunc

	mu             sync.Mutex
	servedSince    map[string]time.Time
	reverted       map[string]bool
	responses      int
	wrongResponses int
}

// startObserver starts an observer of the instances at addresses. It runs until
// its stop method is called or ctx ends.
func startObserver(ctx context.Context, route string, addresses []string) *observer {
	ctx, stop := context.WithCancel(ctx)
	o := &observer{
		route:  route,
		client: &http.Client{Transport: &http.Transport{}, Timeout: observeTimeout},
		cancel: stop, servedSince: map[string]time.Time{}, reverted: map[string]bool{},
	}
	for _, a := range addresses {
		o.wg.Go(func() { o.poll(ctx, a) })
	}
	return o
}

// poll sends requests to one instance until ctx ends.
func (o *observer) poll(ctx context.Context, address string) {
	tick := time.NewTicker(observeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			o.sendRequest(ctx, address)
		}
	}
}

// sendRequest sends one request for the route and records the response.
// Requests without a response are ignored.
func (o *observer) sendRequest(ctx context.Context, address string) {
	sent := exchange.RequestSpec{Nonce: uuid.NewString(), Method: http.MethodGet, Path: "/" + o.route + "/x"}
	req, err := http.NewRequestWithContext(ctx, sent.Method, "http://"+address+sent.Path, nil)
	if err != nil {
		return
	}
	sent.SetHeader(req.Header)
	callers[0].Key.SetHeader(req.Header)
	resp, err := o.client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	o.record(address, sent, resp)
}

// record records one response.
func (o *observer) record(address string, sent exchange.RequestSpec, resp *http.Response) {
	completed := resp.Header.Get(wire.HeaderOutcome) == string(fault.OutcomeCompleted) && resp.StatusCode == http.StatusOK
	unknown := resp.Header.Get(wire.HeaderKind) == fault.KindUnknownRoute.String()
	var wrong bool
	if completed {
		wrong = exchange.IsWrongResponse(exchange.CheckResponse(sent, resp))
	} else {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusalBytes))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.responses++
	_, served := o.servedSince[address]
	switch {
	case wrong:
		o.wrongResponses++
	case completed && !served:
		o.servedSince[address] = time.Now()
	case unknown && served:
		o.reverted[address] = true
	}
}

// servingInstances returns how many instances have served the route, and when
// the last of them first did.
func (o *observer) servingInstances() (n int, last time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, at := range o.servedSince {
		if at.After(last) {
			last = at
		}
	}
	return len(o.servedSince), last
}

// stop stops the observer and waits for its requests to end.
func (o *observer) stop() {
	o.cancel()
	o.wg.Wait()
	o.client.CloseIdleConnections()
}

// slotSampler samples the fraction of each region's slots that is free.
type slotSampler struct {
	federation *federation
	wg         conc.WaitGroup
	cancel     context.CancelFunc

	samples int
	// minFree is the smallest sampled fraction of free slots by region, and
	// sumFree the sum of all samples.
	minFree map[string]float64
	sumFree map[string]float64
	// overloadedSamples counts, by region, the samples with more requests than
	// slots.
	overloadedSamples map[string]int
}

// sampleInterval is the time between two samples.
const sampleInterval = 20 * time.Millisecond

// startSlotSampler starts a slotSampler of f. It runs until its stop method is
// called or ctx ends.
func startSlotSampler(ctx context.Context, f *federation) *slotSampler {
	ctx, stop := context.WithCancel(ctx)
	s := &slotSampler{federation: f, cancel: stop, minFree: map[string]float64{}, sumFree: map[string]float64{}, overloadedSamples: map[string]int{}}
	s.wg.Go(func() { s.run(ctx) })
	return s
}

func (s *slotSampler) run(ctx context.Context) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.sample()
		}
	}
}

// sample takes one sample from the targets' own request counts.
func (s *slotSampler) sample() {
	inFlight, slots := map[string]int{}, map[string]int{}
	for i, st := range s.federation.targetGroup.Stats() {
		t := s.federation.targets[i]
		inFlight[t.region] += st.Running + st.Queued
		slots[t.region] += t.slots
	}
	for region, total := range slots {
		free := 1 - float64(inFlight[region])/float64(total)
		if old, ok := s.minFree[region]; !ok || free < old {
			s.minFree[region] = free
		}
		s.sumFree[region] += free
		if free < 0 {
			s.overloadedSamples[region]++
		}
	}
	s.samples++
}

// stop stops the sampler. Its figures may be read afterwards.
func (s *slotSampler) stop() {
	s.cancel()
	s.wg.Wait()
}
