package node

import (
	"sync"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
)

// waiters brings the final decisions of queued requests to their goroutines.
type waiters struct {
	mu sync.Mutex
	// channels has an entry for each ticket from its first mention, be it by
	// the goroutine that waits or by the decision.
	channels map[uint64]chan steer.Decision
}

func newWaiters() *waiters {
	return &waiters{channels: make(map[uint64]chan steer.Decision)}
}

// channel returns the channel of ticket.
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

// remove drops ticket.
func (w *waiters) remove(ticket uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.channels, ticket)
}

// deliver hands out final decisions.
func (w *waiters) deliver(ups []steer.Wakeup) {
	for _, u := range ups {
		w.channel(u.Ticket) <- u.Decision
	}
}
