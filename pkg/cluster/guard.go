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
	// breakerThreshold is the number of failures in a row that stop the calls.
	breakerThreshold = 3
	// breakerOpenMin and breakerOpenMax bound the time without calls.
	breakerOpenMin = 300 * time.Millisecond
	breakerOpenMax = 8 * time.Second
)

// tokenBucket is a token bucket.
type tokenBucket struct {
	rate, burst float64
	tokens      float64
	last        time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
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

// platformGuard bounds this instance's use of the platform: a budget of calls, a time
// limit for each, and a circuit breaker with jittered back-off.
type platformGuard struct {
	timeout time.Duration

	mu        sync.Mutex
	reads     tokenBucket
	writes    tokenBucket
	failures  int
	openUntil time.Time
	backoff   *backoff.ExponentialBackOff
}

func newPlatformGuard(timeout time.Duration) *platformGuard {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = breakerOpenMin
	b.MaxInterval = breakerOpenMax
	return &platformGuard{
		timeout: timeout,
		reads:   tokenBucket{rate: readRate, burst: readBurst},
		writes:  tokenBucket{rate: writeRate, burst: writeBurst},
		backoff: b,
	}
}

// read calls f within the budget of reads. Errors: those of f, and
// fault.KindStoreUnavailable when no call was made.
func (g *platformGuard) read(ctx context.Context, f func(context.Context) error) error {
	return g.call(ctx, &g.reads, f)
}

// write is read for the budget of writes.
func (g *platformGuard) write(ctx context.Context, f func(context.Context) error) error {
	return g.call(ctx, &g.writes, f)
}

func (g *platformGuard) call(ctx context.Context, b *tokenBucket, f func(context.Context) error) error {
	if err := g.admit(time.Now(), b); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, g.timeout)
	defer cancel()
	err := f(ctx)
	g.record(time.Now(), err)
	return err
}

func (g *platformGuard) admit(now time.Time, b *tokenBucket) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.openUntil) {
		return fault.New(fault.KindStoreUnavailable, "the platform failed %d times in a row", g.failures)
	}
	if !b.take(now) {
		return fault.New(fault.KindStoreUnavailable, "this instance's budget of calls to the platform is used up")
	}
	return nil
}

// record counts failures of the platform, not answers that refuse a write.
func (g *platformGuard) record(now time.Time, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := fault.KindOf(err)
	if err == nil || k == fault.KindEditConflict || k == fault.KindInvalidTable {
		g.failures = 0
		g.openUntil = time.Time{}
		g.backoff.Reset()
		return
	}
	g.failures++
	if g.failures >= breakerThreshold {
		g.openUntil = now.Add(g.backoff.NextBackOff())
	}
}
