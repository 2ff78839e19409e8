package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

const (
	// readRate and writeRate limit the sustained calls per second of an instance
	// to the platform. readBurst and writeBurst limit the calls at once.
	readRate   = 8
	readBurst  = 16
	writeRate  = 3
	writeBurst = 6
	// breakerThreshold is the number of consecutive failures that open the
	// circuit breaker.
	breakerThreshold = 3
	// breakerOpenMin and breakerOpenMax bound how long the breaker stays open.
	breakerOpenMin = 300 * time.Millisecond
	breakerOpenMax = 8 * time.Second
)

// tokenBucket is a rate limiter that starts full. It is not safe for concurrent
// use.
type tokenBucket struct {
	rate, burst float64
	tokens      float64
	last        time.Time
}

// take refills the bucket, then takes a token and returns true, or returns
// false if there is none.
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

// platformGuard limits this instance's calls to the platform: rate limits for
// reads and writes, a timeout for each call, and a circuit breaker whose open
// time backs off exponentially with jitter.
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

// read calls f within the rate limit of reads. Errors: those of f, or
// fault.KindStoreUnavailable without a call if the breaker is open or the limit
// is reached.
func (g *platformGuard) read(ctx context.Context, f func(context.Context) error) error {
	return g.call(ctx, &g.reads, f)
}

// write is like read, with the rate limit of writes.
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

// admit returns an error if the breaker is open or b has no token.
func (g *platformGuard) admit(now time.Time, b *tokenBucket) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.openUntil) {
		return fault.New(fault.KindStoreUnavailable, "no call to the platform: circuit breaker open after %d consecutive failures", g.failures)
	}
	if !b.take(now) {
		return fault.New(fault.KindStoreUnavailable, "no call to the platform: rate limit of this instance reached")
	}
	return nil
}

// record counts consecutive failures of the platform and opens the breaker at
// breakerThreshold. The errors KindEditConflict and KindInvalidTable count as
// successes, since the platform has responded.
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
