package platform

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// ProgressLimits bounds a call whose response may be so large that its transfer takes
// longer than a response of the service may be awaited.
type ProgressLimits struct {
	// First bounds the time until the response begins, and Next the time between two parts
	// of it.
	First, Next time.Duration
	// Transfer bounds the time from the beginning of the response to its end.
	Transfer time.Duration
}

// errNoProgress is the cause of a context of WithProgressLimits that a call has exceeded.
var errNoProgress = fault.New(fault.KindStoreUnavailable, "the call made no progress in time")

// progress is the state of a call under limits.
type progress struct {
	limits ProgressLimits
	mu     sync.Mutex
	timer  *time.Timer
	// end is when the response must have been received; zero before it begins.
	end time.Time
}

// progressKey is the key of the *progress in a context.
type progressKey struct{}

// WithProgressLimits returns a context that ends when the call made with it exceeds the
// limits. The call reports its progress with ReportProgress.
func WithProgressLimits(ctx context.Context, limits ProgressLimits) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &progress{limits: limits}
	p.timer = time.AfterFunc(limits.First, func() { cancel(errNoProgress) })
	stop := func() {
		p.timer.Stop()
		cancel(nil)
	}
	return context.WithValue(ctx, progressKey{}, p), stop
}

// ReportProgress records that a part of the response to the call made with ctx has arrived.
// It does nothing for other contexts.
func ReportProgress(ctx context.Context) {
	if p, ok := ctx.Value(progressKey{}).(*progress); ok {
		p.report(time.Now())
	}
}

// HasProgress reports whether the response to the call made with ctx has begun.
func HasProgress(ctx context.Context) bool {
	p, ok := ctx.Value(progressKey{}).(*progress)
	if !ok {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.end.IsZero()
}

// report extends the time left at now, within the time left for the transfer.
func (p *progress) report(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.end.IsZero() {
		p.end = now.Add(p.limits.Transfer)
	}
	if p.timer.Stop() {
		p.timer.Reset(min(p.limits.Next, p.end.Sub(now)))
	}
}

// progressReader reports the progress of a call with each read.
type progressReader struct {
	ctx context.Context
	r   io.Reader
}

// NewProgressReader returns a reader of the response r to the call made with ctx that
// reports its progress.
func NewProgressReader(ctx context.Context, r io.Reader) io.Reader { return progressReader{ctx, r} }

// Read implements io.Reader.
func (p progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		ReportProgress(p.ctx)
	}
	return n, err
}
