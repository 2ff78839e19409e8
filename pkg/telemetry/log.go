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
	// logBufferBytes bounds the lines that wait to be written; further ones are
	// dropped and counted.
	logBufferBytes = 256 << 10
	// logFlushInterval is the longest time that a line waits.
	logFlushInterval = 200 * time.Millisecond
	// logRate and logBurst bound the lines below the level of warnings, in
	// lines a second and at once.
	logRate  = 400
	logBurst = 1200
)

// Logger is a structured log. Its methods never wait for the reader of the log.
type Logger struct {
	*zap.Logger
	level  zap.AtomicLevel
	writer *asyncWriter
}

// NewLogger returns a structured log on standard output.
func NewLogger(level string) (*Logger, error) { return NewLoggerTo(os.Stdout, level) }

// NewLoggerTo returns a structured log that is written to w.
func NewLoggerTo(w io.Writer, level string) (*Logger, error) {
	l := &Logger{level: zap.NewAtomicLevel(), writer: newAsyncWriter(w)}
	if err := l.SetLevel(level); err != nil {
		l.writer.close()
		return nil, err
	}
	c := zap.NewProductionEncoderConfig()
	c.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), l.writer, l.level)
	l.Logger = zap.New(&rateLimitedCore{Core: core, limit: &lineLimiter{}, writer: l.writer})
	return l, nil
}

// SetLevel sets the lowest level that is logged. Error: kind
// fault.KindInvalidSettings.
func (l *Logger) SetLevel(level string) error {
	var v zapcore.Level
	if err := v.UnmarshalText([]byte(level)); err != nil {
		return fault.Wrap(fault.KindInvalidSettings, err, "log.level")
	}
	l.level.SetLevel(v)
	return nil
}

// Close writes what waits and ends the log.
func (l *Logger) Close() { l.writer.close() }

// rateLimitedCore bounds the number of lines, and their length: errors are written
// without the stack that they carry.
type rateLimitedCore struct {
	zapcore.Core
	limit  *lineLimiter
	writer *asyncWriter
}

// With implements zapcore.Core.
func (c *rateLimitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &rateLimitedCore{Core: c.Core.With(errorsAsText(fields)), limit: c.limit, writer: c.writer}
}

// Write implements zapcore.Core.
func (c *rateLimitedCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, errorsAsText(fields))
}

// errorsAsText returns fields with the text of each error in its place.
func errorsAsText(fields []zapcore.Field) []zapcore.Field {
	if !slices.ContainsFunc(fields, isError) {
		return fields
	}
	out := slices.Clone(fields)
	for i, f := range out {
		if isError(f) {
			out[i] = zap.String(f.Key, f.Interface.(error).Error())
		}
	}
	return out
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
	if e.Level < zapcore.WarnLevel && !c.limit.allow(e.Time) {
		c.writer.countDropped()
		return ce
	}
	return ce.AddCore(e, c)
}

// lineLimiter is a token bucket of lines.
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

// asyncWriter writes lines in the background and drops them when the reader
// is too slow.
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

// Write takes one line.
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

// Sync implements zapcore.WriteSyncer; lines are written in the background.
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

// run writes what has been taken until the writer is closed.
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

// flush writes the lines that wait. A failure to write them has no place to be
// told at, and later lines may succeed.
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

// close writes what waits and ends the background work.
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
