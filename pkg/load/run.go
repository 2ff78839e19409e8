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

// Run sends the load that s describes and reports on it. When ctx ends, no
// further request is sent, and those in flight are waited for.
func Run(ctx context.Context, s Settings) (Report, error) {
	s = s.WithDefaults()
	if err := s.Validate(); err != nil {
		return Report{}, err
	}
	col := NewCollector()
	Send(ctx, s, col)
	runs, err := readRuns(context.WithoutCancel(ctx), s)
	return col.Report(runs), err
}

// Send sends the load that s describes, whose defaults are filled in, and
// returns when the last request has ended.
func Send(ctx context.Context, s Settings, col *Collector) {
	caller := NewCaller(s.Entries)
	defer caller.Close()
	draw := newMix(s)
	workers := pool.New().WithMaxGoroutines(s.MaxInFlight)
	defer workers.Wait()
	interval := time.Duration(float64(time.Second) / s.Rate)
	start := time.Now()
	for n := range int(s.Duration.Std() / interval) {
		due := start.Add(time.Duration(n) * interval)
		if !pause(ctx, time.Until(due)) {
			return
		}
		r := draw.next()
		workers.Go(func() {
			res := caller.Do(context.WithoutCancel(ctx), r)
			col.Add(r, res, time.Since(due))
		})
	}
}

// mix draws the requests of a run.
type mix struct {
	settings Settings
	rand     *rand.Rand
	kinds    int
	members  int
}

func newMix(s Settings) *mix {
	m := &mix{settings: s, rand: rand.New(rand.NewPCG(s.Seed, s.Seed))}
	for _, k := range s.Mix {
		m.kinds += k.Weight
	}
	for _, member := range s.Members {
		m.members += member.Weight
	}
	return m
}

// next returns the next request.
func (m *mix) next() Request {
	k := m.settings.Mix[m.index(m.kinds, len(m.settings.Mix), func(i int) int { return m.settings.Mix[i].Weight })]
	member := m.settings.Members[m.index(m.members, len(m.settings.Members), func(i int) int { return m.settings.Members[i].Weight })]
	nonce := uuid.NewString()
	return Request{
		RequestSpec: exchange.RequestSpec{
			Nonce: nonce, Method: k.Method, Path: strings.TrimSuffix(k.Path, "/") + "/" + nonce,
			BodyBytes: k.BodyBytes, ResponseBytes: k.AnswerBytes, NonIdempotent: k.Once,
		},
		Route: k.Route, Host: k.Host, Member: member.Name, Deadline: k.Deadline.Std(),
	}
}

// index draws one of n entries by weight.
func (m *mix) index(sum, n int, weight func(int) int) int {
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
