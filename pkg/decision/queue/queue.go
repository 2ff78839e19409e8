// Package queue holds requests that wait for capacity: bounded in number and
// in time, in three priority classes, fair among members within a class. It
// is not safe for use from several goroutines at once.
package queue

import (
	"container/heap"
	"time"
)

// Class is the priority of a waiting request.
type Class uint8

// The classes, from the first served to the last.
const (
	High Class = iota
	Normal
	Low
	classes
)

// Of every turnsPerRound requests taken out, the first is offered to the low
// class and the next normalTurns to the normal class, before the order of
// priority applies. So no class is starved.
const (
	turnsPerRound = 10
	normalTurns   = 2
)

// Item is one waiting request.
type Item struct {
	// Ticket identifies the item in the queue.
	Ticket uint64
	Member string
	Class  Class
	// ExpiresAt is when the item must be answered if it has not been taken out.
	ExpiresAt time.Time
	// Value belongs to the user of the queue.
	Value any

	flow  *flow
	next  *Item
	prev  *Item
	index int
}

// flow holds the waiting items of one member in one class, oldest first.
type flow struct {
	member string
	class  Class
	head   *Item
	tail   *Item
	length int
	// next and prev link the flows of a class that have items, in turn order.
	next *flow
	prev *flow
}

// class is a ring of flows; cursor is the next to be served.
type class struct {
	flows  map[string]*flow
	cursor *flow
	length int
}

// Queue holds a bounded number of items.
type Queue struct {
	limit   int
	classes [classes]class
	tickets map[uint64]*Item
	expiry  expiryHeap
	turn    int
}

// New returns an empty queue for at most limit items, at least 1.
func New(limit int) *Queue {
	q := &Queue{limit: limit, tickets: make(map[uint64]*Item)}
	for i := range q.classes {
		q.classes[i].flows = make(map[string]*flow)
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.tickets) }

// Push adds it. When the queue is full, the newest item of the longest flow of
// the lowest class makes room and is returned; that can be the item itself.
func (q *Queue) Push(it *Item) (evicted *Item) {
	q.insert(it)
	if q.Len() <= q.limit {
		return nil
	}
	victim := q.longest().tail
	q.unlink(victim)
	return victim
}

// Pop takes out the next item to be served, or returns nil. Items whose
// ExpiresAt has passed must be taken out with Expired first.
func (q *Queue) Pop() *Item {
	c := q.nextClass()
	if c == nil {
		return nil
	}
	f := c.cursor
	c.cursor = f.next
	it := f.head
	q.unlink(it)
	q.turn = (q.turn + 1) % turnsPerRound
	return it
}

// Peek returns the item that Pop would take out, or nil.
func (q *Queue) Peek() *Item {
	c := q.nextClass()
	if c == nil {
		return nil
	}
	return c.cursor.head
}

// PeekClass returns the class of the next item that Pop returns, and false when
// the queue is empty.
func (q *Queue) PeekClass() (Class, bool) {
	c := q.nextClass()
	if c == nil {
		return 0, false
	}
	return c.cursor.class, true
}

// Remove takes out the item with the given ticket, and returns nil when there
// is none.
func (q *Queue) Remove(ticket uint64) *Item {
	it, ok := q.tickets[ticket]
	if !ok {
		return nil
	}
	q.unlink(it)
	return it
}

// PopExpired takes out one item whose ExpiresAt is not after now, or returns nil.
func (q *Queue) PopExpired(now time.Time) *Item {
	if len(q.expiry) == 0 || q.expiry[0].ExpiresAt.After(now) {
		return nil
	}
	it := q.expiry[0]
	q.unlink(it)
	return it
}

// NextExpiry returns the earliest ExpiresAt, and false when the queue is empty.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].ExpiresAt, true
}

// EstimateAhead estimates how many items are served before a new one of member in
// class: all of the higher classes, and as many of each flow of its class as
// the member has waiting already. Guaranteed turns of lower classes are added.
func (q *Queue) EstimateAhead(member string, cl Class) int {
	ahead := 0
	for i := range cl {
		ahead += q.classes[i].length
	}
	c := &q.classes[cl]
	own := 0
	if f, ok := c.flows[member]; ok {
		own = f.length
	}
	ahead += min(c.length, own*max(1, len(c.flows))+len(c.flows))
	below := 0
	for i := cl + 1; i < classes; i++ {
		below += q.classes[i].length
	}
	return ahead + min(below, ahead*(1+normalTurns)/turnsPerRound)
}

// nextClass applies the guaranteed turns, then the order of priority.
func (q *Queue) nextClass() *class {
	if q.turn == 0 && q.classes[Low].length > 0 {
		return &q.classes[Low]
	}
	if q.turn >= 1 && q.turn <= normalTurns && q.classes[Normal].length > 0 {
		return &q.classes[Normal]
	}
	for i := range q.classes {
		if q.classes[i].length > 0 {
			return &q.classes[i]
		}
	}
	return nil
}

// longest returns the longest flow of the lowest class that holds more than its
// guaranteed part of the queue. The queue must be over its limit, so there is one.
func (q *Queue) longest() *flow {
	var best *flow
	for i := int(classes) - 1; i >= 0; i-- {
		c := &q.classes[i]
		if c.length <= q.limit/turnsPerRound {
			continue
		}
		for _, f := range c.flows {
			if best == nil || f.length > best.length || (f.length == best.length && f.member < best.member) {
				best = f
			}
		}
		if best != nil {
			return best
		}
	}
	return best
}

// insert links it at the end of its member's flow.
func (q *Queue) insert(it *Item) {
	c := &q.classes[it.Class]
	f, ok := c.flows[it.Member]
	if !ok {
		f = &flow{member: it.Member, class: it.Class}
		c.flows[it.Member] = f
		c.link(f)
	}
	it.flow, it.prev, it.next = f, f.tail, nil
	if f.tail != nil {
		f.tail.next = it
	} else {
		f.head = it
	}
	f.tail = it
	f.length++
	c.length++
	q.tickets[it.Ticket] = it
	heap.Push(&q.expiry, it)
}

// unlink takes it out of its flow, the expiry heap and the ticket index.
func (q *Queue) unlink(it *Item) {
	f := it.flow
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		f.head = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		f.tail = it.prev
	}
	it.prev, it.next = nil, nil
	f.length--
	c := &q.classes[it.Class]
	c.length--
	if f.length == 0 {
		c.drop(f)
	}
	delete(q.tickets, it.Ticket)
	heap.Remove(&q.expiry, it.index)
}

// link puts f last in turn order.
func (c *class) link(f *flow) {
	if c.cursor == nil {
		f.next, f.prev = f, f
		c.cursor = f
		return
	}
	f.next, f.prev = c.cursor, c.cursor.prev
	f.prev.next, f.next.prev = f, f
}

// drop takes an empty flow out of the ring.
func (c *class) drop(f *flow) {
	delete(c.flows, f.member)
	if f.next == f {
		c.cursor = nil
		return
	}
	if c.cursor == f {
		c.cursor = f.next
	}
	f.prev.next, f.next.prev = f.next, f.prev
}

// expiryHeap orders items by ExpiresAt.
type expiryHeap []*Item

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].ExpiresAt.Before(h[j].ExpiresAt) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
