package queue

// policy keeps strict priority from starving lower classes.
type policy interface {
	// first returns the class to serve next regardless of priority, or false if strict
	// priority applies. It returns only classes with items.
	first(classes []class) (Class, bool)
	// popped records that an item of class cl has left the queue to be served.
	popped(cl Class)
	// lowerAhead returns how many items of lower classes are served at most before ahead
	// items.
	lowerAhead(ahead int) int
}

// In every round of popsPerRound pops, the first pop is offered to the low class
// and the next normalPops pops to the normal class before strict priority
// applies, so that no class is starved.
const (
	popsPerRound = 10
	normalPops   = 2
)

// turns is the policy of rounds of popsPerRound pops.
type turns struct {
	// popInRound is the number of pops so far in the current round.
	popInRound int
}

func (t *turns) first(classes []class) (Class, bool) {
	cl := High
	switch {
	case t.popInRound == 0:
		cl = Low
	case t.popInRound <= normalPops:
		cl = Normal
	}
	return cl, cl != High && classes[cl].length > 0
}

func (t *turns) popped(Class) { t.popInRound = (t.popInRound + 1) % popsPerRound }

func (t *turns) lowerAhead(ahead int) int { return ahead * (1 + normalPops) / popsPerRound }

const (
	// floorFraction is the part of the fraction of all requests that are served which each
	// class gets at least.
	floorFraction = 0.4
	// floorsWindow is the number of requests after which the counts of Floors are halved.
	floorsWindow = 512
)

// Floors is the policy that serves a class first, the lowest first, whose requests have
// been served far less often than all requests. It counts all requests of the classes,
// also those that don't wait. It is not safe for concurrent use.
type Floors struct {
	arrived, served []float64
	total           float64
}

// NewFloors returns a Floors for the given number of classes, at least 1.
func NewFloors(numClasses int) *Floors {
	return &Floors{arrived: make([]float64, numClasses), served: make([]float64, numClasses)}
}

// RecordArrival counts a request of class cl.
func (f *Floors) RecordArrival(cl Class) {
	f.arrived[cl]++
	f.total++
	if f.total < floorsWindow {
		return
	}
	f.total /= 2
	for i := range f.arrived {
		f.arrived[i] /= 2
		f.served[i] /= 2
	}
}

// RecordServed counts a request of class cl that is served without waiting.
func (f *Floors) RecordServed(cl Class) { f.served[cl]++ }

// RecordReturned undoes RecordServed, or a pop, of a request that was not served after all.
func (f *Floors) RecordReturned(cl Class) { f.served[cl] = max(0, f.served[cl]-1) }

// Counts returns the weighted numbers of the latest requests of class cl, and of those that
// were served.
func (f *Floors) Counts(cl Class) (arrived, served float64) { return f.arrived[cl], f.served[cl] }

func (f *Floors) popped(cl Class) { f.served[cl]++ }

// lowerAhead assumes that all classes but the one in question are at their floors.
func (f *Floors) lowerAhead(ahead int) int { return int(floorFraction * float64(ahead)) }

func (f *Floors) first(classes []class) (Class, bool) {
	served := 0.0
	for _, n := range f.served {
		served += n
	}
	for i := len(classes) - 1; i > 0; i-- {
		if classes[i].length > 0 && f.served[i]*f.total < floorFraction*served*f.arrived[i] {
			return Class(i), true
		}
	}
	return 0, false
}
