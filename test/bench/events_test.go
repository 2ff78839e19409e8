package bench

import (
	"container/heap"
	"time"
)

// event is a function that runs at a point in virtual time. seq orders events at
// the same time by when they were scheduled.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue is a min-heap of events (container/heap).
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// after schedules run in d from now.
func (sim *simulation) after(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now + d, sim.seq, run})
}

// every schedules run repeatedly at intervals of d.
func (sim *simulation) every(d time.Duration, run func()) {
	var repeat func()
	repeat = func() { run(); sim.after(d, repeat) }
	sim.after(d, repeat)
}
