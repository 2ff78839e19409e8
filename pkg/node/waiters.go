package node

import (
	"sync"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
)

// waiters delivers the final decisions on queued requests to the goroutines that
// serve them.
type waiters struct {
	mu sync.Mutex
	// channels holds one buffered channel per ticket. It is created by whichever
	// comes first, the waiting goroutine or the decision.
	channels map[uint64]chan steer.Decision
}

func newWaiters() *waiters {
	return &waiters{channels: make(map[uint64]chan steer.Decision)}
}

// channel returns the channel of ticket and creates it on first use.
func (w *waiters) channel(ticket uint64) chan steer.Decision {
	w.mu.Lock()
	defer w.mu.Unlock()
	ch, ok := w.channels[ticket]
	if !ok {
		ch = make(chan steer.Decision, 1)
		w.channels[ticket] = ch
	}
	return ch
}

// remove deletes the channel of ticket.
func (w *waiters) remove(ticket uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.channels, ticket)
}

// deliver sends each decision to the goroutine that waits for it. It does not
// block, as each channel holds one decision.
func (w *waiters) deliver(wakeups []steer.Wakeup) {
	for _, u := range wakeups {
		w.channel(u.Ticket) <- u.Decision
	}
}
