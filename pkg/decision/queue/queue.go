// Package queue implements a bounded queue of requests that wait for capacity.
// It has priority classes, serves the members of a class round-robin, and
// expires items. A Queue is not safe for concurrent use.
package queue

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"
)

// Class is the priority class of a waiting request. Zero is the highest.
type Class uint8

// The priority classes of a queue that New returns, from highest to lowest.
const (
	High Class = iota
	Normal
	Low
	numClasses
)

// Item is one waiting request.
type Item struct {
	// Ticket identifies the item in the queue.
	Ticket uint64
	Member string
	Class  Class
	// ExpiresAt is the time from which PopExpired removes the item.
	ExpiresAt time.Time
	// Value is opaque to the queue.
	Value any

	flow      *flow
	next      *Item
	prev      *Item
	heapIndex int
}

// flow holds the waiting items of one member in one class, oldest first.
type flow struct {
	member string
	class  Class
	head   *Item
	tail   *Item
	length int
	// next and prev link the non-empty flows of a class in round-robin order.
	next *flow
	prev *flow
}

// class is a ring of non-empty flows. cursor is the flow to serve next.
type class struct {
	flows  map[string]*flow
	cursor *flow
	length int
}

// Queue holds a bounded number of items.
type Queue struct {
	limit   int
	classes []class
	tickets map[uint64]*Item
	expiry  expiryHeap
	policy  policy
}

// New returns an empty queue of the classes High, Normal and Low for at most limit items,
// which serves them by turns. limit must be at least 1.
func New(limit int) *Queue { return newQueue(limit, int(numClasses), &turns{}) }

// NewWithFloors returns an empty queue of the given number of classes for at most limit
// items, which serves first the classes that have been served far less than the others;
// see Floors. limit must be at least 1.
func NewWithFloors(limit int, f *Floors) *Queue { return newQueue(limit, len(f.served), f) }

func newQueue(limit, numClasses int, p policy) *Queue {
	q := &Queue{limit: limit, classes: make([]class, numClasses), tickets: make(map[uint64]*Item), policy: p}
	for i := range q.classes {
		q.classes[i].flows = make(map[string]*flow)
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.tickets) }

// Push adds item. When the queue is full, Push evicts and returns the newest item
// of the longest flow in the lowest class that exceeds its guaranteed part of
// the queue. The evicted item can be item itself.
func (q *Queue) Push(item *Item) (evicted *Item) {
	q.insert(item)
	if q.Len() <= q.limit {
		return nil
	}
	victim := q.evictionFlow().tail
	q.unlink(victim)
	return victim
}

// Pop removes and returns the next item to serve, or nil when the queue is
// empty. It does not check ExpiresAt: call PopExpired first.
func (q *Queue) Pop() *Item {
	c := q.selectClass()
	if c == nil {
		return nil
	}
	return q.take(c.cursor.head)
}

// Take removes item, which Heads has returned, as Pop does.
func (q *Queue) Take(item *Item) { q.take(item) }

// take removes the first item of a flow to be served. The next flow of its class is next.
func (q *Queue) take(item *Item) *Item {
	q.classes[item.Class].cursor = item.flow.next
	q.unlink(item)
	q.policy.popped(item.Class)
	return item
}

// Heads returns the first items of up to limit flows in the order in which they are to be
// served: the class that Pop would serve, then the others by priority. While other classes
// have items too, that first class has at most half of them: none of it may be servable.
func (q *Queue) Heads(limit int) []*Item {
	first := q.selectClass()
	if first == nil {
		return nil
	}
	most := limit
	if first.length < q.Len() {
		most = (limit + 1) / 2
	}
	heads := first.appendHeads(nil, most)
	for i := range q.classes {
		if c := &q.classes[i]; c != first && c.cursor != nil {
			heads = c.appendHeads(heads, limit)
		}
	}
	return heads
}

// Skip has the flows after those of heads, which Heads has returned and of which none could be
// served, come next in their classes.
func (q *Queue) Skip(heads []*Item) {
	for _, item := range heads {
		q.classes[item.Class].cursor = item.flow.next
	}
}

// appendHeads appends the first items of the class's flows, in round-robin order, until
// there are limit items.
func (c *class) appendHeads(heads []*Item, limit int) []*Item {
	for f := c.cursor; len(heads) < limit; {
		heads = append(heads, f.head)
		if f = f.next; f == c.cursor {
			break
		}
	}
	return heads
}

// Peek returns the item that Pop would remove, or nil.
func (q *Queue) Peek() *Item {
	c := q.selectClass()
	if c == nil {
		return nil
	}
	return c.cursor.head
}

// PeekClass returns the class of the item that Pop would remove, or false when
// the queue is empty.
func (q *Queue) PeekClass() (Class, bool) {
	c := q.selectClass()
	if c == nil {
		return 0, false
	}
	return c.cursor.class, true
}

// Remove removes and returns the item with the given ticket, or nil when there
// is none.
func (q *Queue) Remove(ticket uint64) *Item {
	item, ok := q.tickets[ticket]
	if !ok {
		return nil
	}
	q.unlink(item)
	return item
}

// Items returns the waiting items, ordered by ticket.
func (q *Queue) Items() []*Item {
	return slices.SortedFunc(maps.Values(q.tickets), func(a, b *Item) int { return cmp.Compare(a.Ticket, b.Ticket) })
}

// PopExpired removes and returns the item that expires first if its ExpiresAt is
// not after now, or returns nil.
func (q *Queue) PopExpired(now time.Time) *Item {
	if len(q.expiry) == 0 || q.expiry[0].ExpiresAt.After(now) {
		return nil
	}
	item := q.expiry[0]
	q.unlink(item)
	return item
}

// NextExpiry returns the earliest ExpiresAt, or false when the queue is empty.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].ExpiresAt, true
}

// EstimateAhead estimates how many items are served before a new item of member
// in class cl: all items of higher classes, from each flow of the class as many
// as the member already has waiting and one more, and what lower classes get before
// these.
func (q *Queue) EstimateAhead(member string, cl Class) int {
	ahead := 0
	for i := range cl {
		ahead += q.classes[i].length
	}
	c := &q.classes[cl]
	ownWaiting := 0
	if f, ok := c.flows[member]; ok {
		ownWaiting = f.length
	}
	ahead += min(c.length, ownWaiting*max(1, len(c.flows))+len(c.flows))
	lower := 0
	for i := int(cl) + 1; i < len(q.classes); i++ {
		lower += q.classes[i].length
	}
	return ahead + min(lower, q.policy.lowerAhead(ahead))
}

// selectClass returns the class to serve next, or nil when the queue is empty.
func (q *Queue) selectClass() *class {
	if i, ok := q.policy.first(q.classes); ok {
		return &q.classes[i]
	}
	for i := range q.classes {
		if q.classes[i].length > 0 {
			return &q.classes[i]
		}
	}
	return nil
}

// evictionFlow returns the longest flow of the lowest class that exceeds its
// guaranteed part of the queue, limit/popsPerRound items. Some class exceeds it
// because the queue must be over its limit when evictionFlow is called.
func (q *Queue) evictionFlow() *flow {
	var best *flow
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := &q.classes[i]
		if c.length <= q.limit/popsPerRound {
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

// insert appends item to its member's flow and adds it to the indexes.
func (q *Queue) insert(item *Item) {
	c := &q.classes[item.Class]
	f, ok := c.flows[item.Member]
	if !ok {
		f = &flow{member: item.Member, class: item.Class}
		c.flows[item.Member] = f
		c.addFlow(f)
	}
	item.flow, item.prev, item.next = f, f.tail, nil
	if f.tail != nil {
		f.tail.next = item
	} else {
		f.head = item
	}
	f.tail = item
	f.length++
	c.length++
	q.tickets[item.Ticket] = item
	heap.Push(&q.expiry, item)
}

// unlink removes item from its flow, the expiry heap and the ticket index.
func (q *Queue) unlink(item *Item) {
	f := item.flow
	if item.prev != nil {
		item.prev.next = item.next
	} else {
		f.head = item.next
	}
	if item.next != nil {
		item.next.prev = item.prev
	} else {
		f.tail = item.prev
	}
	item.prev, item.next = nil, nil
	f.length--
	c := &q.classes[item.Class]
	c.length--
	if f.length == 0 {
		c.removeFlow(f)
	}
	delete(q.tickets, item.Ticket)
	heap.Remove(&q.expiry, item.heapIndex)
}

// addFlow inserts f at the end of the round-robin order.
func (c *class) addFlow(f *flow) {
	if c.cursor == nil {
		f.next, f.prev = f, f
		c.cursor = f
		return
	}
	f.next, f.prev = c.cursor, c.cursor.prev
	f.prev.next, f.next.prev = f, f
}

// removeFlow removes an empty flow from the ring.
func (c *class) removeFlow(f *flow) {
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
