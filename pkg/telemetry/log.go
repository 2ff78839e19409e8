package telemetry

import (
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

const (
	// logBufferBytes bounds the buffered lines. Further lines are dropped and
	// counted.
	logBufferBytes = 256 << 10
	// logFlushInterval is the longest time that a line stays in the buffer.
	logFlushInterval = 200 * time.Millisecond
	// logRate, in lines per second, and logBurst, in lines, limit the lines below
	// the level of warnings.
	logRate  = 400
	logBurst = 1200
)

// Logger is a structured log. Logging never blocks on a slow reader of the log:
// lines beyond the buffer are dropped.
type Logger struct {
	*zap.Logger
	level  zap.AtomicLevel
	writer *asyncWriter
}

// NewLogger returns a structured log that is written to standard output. Error:
// fault.KindInvalidSettings for an unknown level.
func NewLogger(level string) (*Logger, error) { return NewLoggerTo(os.Stdout, level) }

// NewLoggerTo returns a structured log that is written to w. Error:
// fault.KindInvalidSettings for an unknown level.
func NewLoggerTo(w io.Writer, level string) (*Logger, error) {
	l := &Logger{level: zap.NewAtomicLevel(), writer: newAsyncWriter(w)}
	if err := l.SetLevel(level); err != nil {
		l.writer.close()
		return nil, err
	}
	c := zap.NewProductionEncoderConfig()
	c.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), l.writer, l.level)
	l.Logger = zap.New(&rateLimitedCore{Core: core, limiter: &lineLimiter{}, writer: l.writer})
	return l, nil
}

// SetLevel sets the lowest level that is logged. Error:
// fault.KindInvalidSettings for an unknown level.
func (l *Logger) SetLevel(level string) error {
	var v zapcore.Level
	if err := v.UnmarshalText([]byte(level)); err != nil {
		return fault.Wrap(fault.KindInvalidSettings, err, "log.level")
	}
	l.level.SetLevel(v)
	return nil
}

// Close writes the buffered lines and stops the background writer. Later lines
// are dropped.
func (l *Logger) Close() { l.writer.close() }

// rateLimitedCore limits the rate of log lines below warnings. It also keeps lines
// short: errors are logged without their stack traces, and long texts are cut.
type rateLimitedCore struct {
	zapcore.Core
	limiter *lineLimiter
	writer  *asyncWriter
}

// With implements zapcore.Core.
func (c *rateLimitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &rateLimitedCore{Core: c.Core.With(shortened(fields)), limiter: c.limiter, writer: c.writer}
}

// Write implements zapcore.Core.
func (c *rateLimitedCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, shortened(fields))
}

// maxTextBytes is the number of bytes of a text that are logged. Texts may hold what other
// processes have sent.
const maxTextBytes = 1 << 10

// shortened returns fields with each error replaced by its message, without the stack
// trace, and each text cut to maxTextBytes.
func shortened(fields []zapcore.Field) []zapcore.Field {
	if !slices.ContainsFunc(fields, func(f zapcore.Field) bool { return isError(f) || isLongText(f) }) {
		return fields
	}
	out := slices.Clone(fields)
	for i, f := range out {
		if isError(f) {
			f = zap.String(f.Key, f.Interface.(error).Error())
		}
		if isLongText(f) {
			f.String = f.String[:maxTextBytes]
		}
		out[i] = f
	}
	return out
}

func isLongText(f zapcore.Field) bool {
	return f.Type == zapcore.StringType && len(f.String) > maxTextBytes
}

func isError(f zapcore.Field) bool {
	_, ok := f.Interface.(error)
	return ok && f.Type == zapcore.ErrorType
}

// Check implements zapcore.Core.
func (c *rateLimitedCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return ce
	}
	if e.Level < zapcore.WarnLevel && !c.limiter.allow(e.Time) {
		c.writer.countDropped()
		return ce
	}
	return ce.AddCore(e, c)
}

// lineLimiter is a token bucket with one token per line.
type lineLimiter struct {
	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// allow reports whether another line may be logged at now.
func (l *lineLimiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last.IsZero() {
		l.tokens = logBurst
	} else {
		l.tokens = min(logBurst, l.tokens+logRate*max(0, now.Sub(l.last).Seconds()))
	}
	l.last = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// asyncWriter buffers lines and writes them in the background. It drops lines
// while the buffer is full.
type asyncWriter struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	buffer  []byte
	dropped int
	closed  bool
}

func newAsyncWriter(out io.Writer) *asyncWriter {
	w := &asyncWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write appends one line to the buffer. It never fails: a line that does not fit
// is counted as dropped.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.buffer)+len(line) > logBufferBytes {
		w.dropped++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	w.signal()
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, since lines are written in
// the background.
func (w *asyncWriter) Sync() error { return nil }

// countDropped counts a line that was not written.
func (w *asyncWriter) countDropped() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped++
	w.signal()
}

func (w *asyncWriter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes the buffered lines until the writer is closed.
func (w *asyncWriter) run() {
	defer close(w.done)
	for range w.wake {
		w.mu.Lock()
		closed := w.closed
		w.mu.Unlock()
		if !closed {
			time.Sleep(logFlushInterval)
		}
		w.flush()
		if closed {
			return
		}
	}
}

// flush writes the buffered lines. It ignores write errors: there is nowhere to
// report them, and later writes may succeed.
func (w *asyncWriter) flush() {
	w.mu.Lock()
	lines, dropped := w.buffer, w.dropped
	w.buffer, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, droppedLine(dropped)...)
	}
	if len(lines) > 0 {
		_, _ = w.out.Write(lines)
	}
}

// close writes the buffered lines and stops the background goroutine.
func (w *asyncWriter) close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	w.signal()
	w.mu.Unlock()
	<-w.done
}
