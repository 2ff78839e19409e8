package load

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc/pool"

	"github.com/jacinthramp/jacinthramp/pkg/standin/exchange"
)

// Run sends the load that s describes and returns its report. When ctx ends,
// Run sends no further requests and waits for those in flight.
func Run(ctx context.Context, s Settings) (Report, error) {
	s = s.WithDefaults()
	if err := s.Validate(); err != nil {
		return Report{}, err
	}
	collector := NewCollector()
	Send(ctx, s, collector)
	runs, err := readRuns(context.WithoutCancel(ctx), s)
	return collector.Report(runs), err
}

// Send sends the load that s describes, adds the results to collector, and
// returns when the last request has ended. The defaults of s must be filled in.
func Send(ctx context.Context, s Settings, collector *Collector) {
	caller := NewCaller(s.Entries)
	defer caller.Close()
	requests := newRequestMix(s)
	workers := pool.New().WithMaxGoroutines(s.MaxInFlight)
	defer workers.Wait()
	interval := time.Duration(float64(time.Second) / s.Rate)
	start := time.Now()
	for n := range int(s.Duration.Std() / interval) {
		due := start.Add(time.Duration(n) * interval)
		if !pause(ctx, time.Until(due)) {
			return
		}
		r := requests.next()
		workers.Go(func() {
			res := caller.Do(context.WithoutCancel(ctx), r)
			collector.Add(r, res, time.Since(due))
		})
	}
}

// requestMix generates the requests of a run at random by weight.
type requestMix struct {
	settings      Settings
	rand          *rand.Rand
	kindWeights   int
	memberWeights int
}

func newRequestMix(s Settings) *requestMix {
	m := &requestMix{settings: s, rand: rand.New(rand.NewPCG(s.Seed, s.Seed))}
	for _, k := range s.Mix {
		m.kindWeights += k.Weight
	}
	for _, member := range s.Members {
		m.memberWeights += member.Weight
	}
	return m
}

// next returns the next request.
func (m *requestMix) next() Request {
	k := m.settings.Mix[m.drawIndex(m.kindWeights, len(m.settings.Mix), func(i int) int { return m.settings.Mix[i].Weight })]
	member := m.settings.Members[m.drawIndex(m.memberWeights, len(m.settings.Members), func(i int) int { return m.settings.Members[i].Weight })]
	nonce := uuid.NewString()
	return Request{
		RequestSpec: exchange.RequestSpec{
			Nonce: nonce, Method: k.Method, Path: strings.TrimSuffix(k.Path, "/") + "/" + nonce,
			BodyBytes: k.BodyBytes, ResponseBytes: k.ResponseBytes, NonIdempotent: k.NonIdempotent,
		},
		Route: k.Route, Host: k.Host, Member: member.Name, Key: member.Key, ResponseTimeout: k.ResponseTimeout.Std(),
	}
}

// drawIndex picks one of n entries at random by weight. sum is the sum of the
// weights.
func (m *requestMix) drawIndex(sum, n int, weight func(int) int) int {
	if sum == 0 {
		return 0
	}
	drawn := m.rand.IntN(sum)
	for i := range n {
		drawn -= weight(i)
		if drawn < 0 {
			return i
		}
	}
	return n - 1
}
