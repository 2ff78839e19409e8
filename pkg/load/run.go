package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc/pool"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/standin/exchange"
	"github.com/jacinthramp/jacinthramp/pkg/standin/target"
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
	if len(s.TargetControls) == 0 {
		return col.Report(nil), nil
	}
	runs, err := readRuns(context.WithoutCancel(ctx), s.TargetControls)
	if err != nil {
		return col.Report(nil), err
	}
	return col.Report(&runs), nil
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
	return Request{
		Sent: exchange.Sent{
			Nonce: uuid.NewString(), Method: k.Method, Path: k.Path,
			BodyBytes: k.BodyBytes, AnswerBytes: k.AnswerBytes, Once: k.Once,
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

// readRuns reads and adds up the runs that target stand-ins counted.
func readRuns(ctx context.Context, controls []string) (target.Runs, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultDeadline)
	defer cancel()
	var total target.Runs
	for _, address := range controls {
		runs, err := readRunsOf(ctx, address)
		if err != nil {
			return target.Runs{}, fault.Wrap(fault.KindPeerUnavailable, err, "reading the counted runs of %s", address)
		}
		total.Merge(runs)
	}
	return total, nil
}

func readRunsOf(ctx context.Context, address string) (target.Runs, error) {
	var runs target.Runs
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+target.PathRuns, nil)
	if err != nil {
		return runs, err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return runs, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return runs, fmt.Errorf("status %d", resp.StatusCode)
	}
	return runs, json.NewDecoder(resp.Body).Decode(&runs)
}
