package caller

import (
	"sync"

	"github.com/jacinthramp/jacinthramp/pkg/decision/holding"
)

// Holding is the memory for parts of responses that their callers have not read yet. It is
// safe for concurrent use.
type Holding struct {
	mu     sync.Mutex
	ledger *holding.Ledger
	// waiting holds a channel for each request that waits for room. It is closed when the
	// request is granted.
	waiting map[holding.Ticket]chan struct{}
}

// NewHolding returns a Holding of limit bytes.
func NewHolding(limit int64) *Holding {
	return &Holding{ledger: holding.New(limit), waiting: map[holding.Ticket]chan struct{}{}}
}

// take takes one part of copyBufferBytes for an owner, or else waits for one: granted is
// closed once the owner has it. The caller must give the part back, or cancel.
func (h *Holding) take(owner string) (taken bool, t holding.Ticket, granted <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ledger.Take(owner, copyBufferBytes) {
		return true, 0, nil
	}
	t = h.ledger.Wait(owner, copyBufferBytes)
	c := make(chan struct{})
	h.waiting[t] = c
	return false, t, c
}

// cancel ends the wait for t of an owner, and gives the part back if it was granted.
func (h *Holding) cancel(t holding.Ticket, owner string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ledger.Cancel(t) {
		delete(h.waiting, t)
		return
	}
	h.giveBack(owner)
}

// release gives one part of an owner back.
func (h *Holding) release(owner string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.giveBack(owner)
}

// giveBack gives one part back and wakes those that get it. The caller holds mu.
func (h *Holding) giveBack(owner string) {
	for _, t := range h.ledger.Return(owner, copyBufferBytes) {
		close(h.waiting[t])
		delete(h.waiting, t)
	}
}

// isShort reports whether a response waits for room.
func (h *Holding) isShort() bool {
	_, waiting := h.State()
	return waiting > 0
}

// State returns the bytes that are held, and the number of responses that wait for room.
func (h *Holding) State() (held int64, waiting int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Held(), h.ledger.Waiting()
}
