package node

import (
	"sync"

	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
)

// waiters brings the final decisions of queued requests to their goroutines.
type waiters struct {
	mu sync.Mutex
	// places has an entry for each ticket from its first mention, be it by
	// the goroutine that waits or by the decision.
	places map[uint64]chan steer.Decision
}

func newWaiters() *waiters {
	return &waiters{places: make(map[uint64]chan steer.Decision)}
}

// place returns the channel of ticket.
func (w *waiters) place(ticket uint64) chan steer.Decision {
	w.mu.Lock()
	defer w.mu.Unlock()
	ch, ok := w.places[ticket]
	if !ok {
		ch = make(chan steer.Decision, 1)
		w.places[ticket] = ch
	}
	return ch
}

// forget drops ticket.
func (w *waiters) forget(ticket uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.places, ticket)
}

// deliver hands out final decisions.
func (w *waiters) deliver(ups []steer.Wakeup) {
	for _, u := range ups {
		w.place(u.Ticket) <- u.Decision
	}
}
