package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

const (
	// readRate and writeRate are the calls a second that an instance may make
	// to the platform in the long run, readBurst and writeBurst at once.
	readRate   = 8
	readBurst  = 16
	writeRate  = 3
	writeBurst = 6
	// tripAfter is the number of failures in a row that stop the calls.
	tripAfter = 3
	// openMin and openMax bound the time without calls.
	openMin = 300 * time.Millisecond
	openMax = 8 * time.Second
)

// bucket is a token bucket.
type bucket struct {
	rate, burst float64
	tokens      float64
	last        time.Time
}

func (b *bucket) take(now time.Time) bool {
	if b.last.IsZero() {
		b.tokens = b.burst
	} else {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// guard bounds this instance's use of the platform: a budget of calls, a time
// limit for each, and a circuit breaker with jittered back-off.
type guard struct {
	timeout time.Duration

	mu       sync.Mutex
	reads    bucket
	writes   bucket
	failures int
	openTo   time.Time
	backoff  *backoff.ExponentialBackOff
}

func newGuard(timeout time.Duration) *guard {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = openMin
	b.MaxInterval = openMax
	return &guard{
		timeout: timeout,
		reads:   bucket{rate: readRate, burst: readBurst},
		writes:  bucket{rate: writeRate, burst: writeBurst},
		backoff: b,
	}
}

// read calls f within the budget of reads. Errors: those of f, and
// fault.KindStoreUnavailable when no call was made.
func (g *guard) read(ctx context.Context, f func(context.Context) error) error {
	return g.call(ctx, &g.reads, f)
}

// write is read for the budget of writes.
func (g *guard) write(ctx context.Context, f func(context.Context) error) error {
	return g.call(ctx, &g.writes, f)
}

func (g *guard) call(ctx context.Context, b *bucket, f func(context.Context) error) error {
	if err := g.admit(time.Now(), b); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	err := f(ctx)
	g.record(time.Now(), err)
	return err
}

func (g *guard) admit(now time.Time, b *bucket) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.openTo) {
		return fault.New(fault.KindStoreUnavailable, "the platform failed %d times in a row", g.failures)
	}
	if !b.take(now) {
		return fault.New(fault.KindStoreUnavailable, "this instance's budget of calls to the platform is used up")
	}
	return nil
}

// record counts failures of the platform, not answers that refuse a write.
func (g *guard) record(now time.Time, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := fault.KindOf(err)
	if err == nil || k == fault.KindEditConflict || k == fault.KindInvalidTable {
		g.failures = 0
		g.openTo = time.Time{}
		g.backoff.Reset()
		return
	}
	g.failures++
	if g.failures >= tripAfter {
		g.openTo = now.Add(g.backoff.NextBackOff())
	}
}
