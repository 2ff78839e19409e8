package pipeline

import (
	"time"
)

// awaitTurn waits until all earlier responses are done, and sets the write
// deadline of this one. It returns errConnClosed if the connection ends first.
func (w *response) awaitTurn() error {
	if w.err != nil {
		return w.err
	}
	select {
	case <-w.previousDone:
	case <-w.conn.ctx.Done():
		w.err = errConnClosed
		return w.err
	}
	if w.conn.ctx.Err() != nil {
		w.err = errConnClosed
		return w.err
	}
	now := time.Now()
	w.finalDeadline = w.deadlineAtTurn(now)
	w.err = w.extendWrite(now)
	return w.err
}

// extendWrite lets the caller be without progress for the server's StallTimeout from now
// on, at most until the final deadline.
func (w *response) extendWrite(now time.Time) error {
	w.extendedAt = now
	deadline := w.finalDeadline
	if stall := w.conn.server.StallTimeout; stall > 0 {
		if limit := now.Add(stall); deadline.IsZero() || limit.Before(deadline) {
			deadline = limit
		}
	}
	return w.conn.netConn.SetWriteDeadline(deadline)
}

// recordProgress moves the write deadline, since what was written before has been taken.
func (w *response) recordProgress() {
	stall := w.conn.server.StallTimeout
	if stall <= 0 || w.err != nil {
		return
	}
	if now := time.Now(); now.Sub(w.extendedAt) >= stall/stallChecks {
		w.recordErr(w.extendWrite(now))
	}
}

// deadlineAtTurn returns the write deadline of a response whose turn comes at now.
func (w *response) deadlineAtTurn(now time.Time) time.Time {
	if earliest := now.Add(minWriteTime); !w.writeDeadline.IsZero() && w.writeDeadline.Before(earliest) {
		return earliest
	}
	return w.writeDeadline
}
