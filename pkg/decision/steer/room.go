package steer

import (
	"maps"
	"math"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/queue"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

const (
	// priorityClasses is the number of priorities, and numRanks that of the pairs of a
	// workspace's and a route's priority.
	priorityClasses = 3
	numRanks        = priorityClasses * priorityClasses
	// rankActiveFor is how long after its last request a rank counts as using a service.
	rankActiveFor = 5 * time.Second
	// patientWaitFraction is the part of the wait that the most urgent rank accepts at a
	// target which less urgent requests may add up to. The rest is left for urgent ones.
	patientWaitFraction = 0.15
	// urgentWaitFraction is the part of its wait that a request of the most urgent rank may
	// spend at a target. What waits there is in order of arrival, not in turns.
	urgentWaitFraction = 0.5
	// agingFraction is the part of the time that a request has waited by which it may wait
	// longer at a target. Without it, an instance that gets few responses sees too late
	// what becomes free, and the others take all of it.
	agingFraction = 0.5
	// maxWorkFraction bounds the part of the remaining time that the work of a request
	// is taken to need: estimates of the work at cold targets are high.
	maxWorkFraction = 0.8
	// maxLimitedWait bounds the wait of a request whose workspace has a limit. It counts
	// under the limit from its admission, before the wait: many that wait for long would
	// reach targets together with those that are admitted later.
	maxLimitedWait = 300 * time.Millisecond
	// maxHeadsTried bounds the waiting requests that are tried when room may have become
	// free. The targets of the first one's object may be full while others are not.
	maxHeadsTried = 8
	// minTimeLeft is the time before its deadline at which a request ends its wait at the
	// latest: a few calls of Tick. Then it is refused as one that wasn't run, with a time to
	// return, before its deadline can end it.
	minTimeLeft = 30 * time.Millisecond
	// retryAfterFraction bounds the retry-after time, as a fraction of the time that the caller
	// has left: the retry needs the rest for its response.
	retryAfterFraction = 0.3
	// paceSampleWeight is the weight of one RecomputeInterval in the pace of a room.
	paceSampleWeight = 0.1
)

// room is the waiting room of a service: the requests that wait at this instance until a
// target has room for them, and what decides who is next. It is kept across table changes.
type room struct {
	*poolStats
	// lastUsed is when each rank last used the service, and targetLatency the target
	// latency of that request.
	lastUsed      [numRanks]atomic.Int64
	targetLatency [numRanks]atomic.Int64
	// sent counts the requests sent since the last update of paceBits, which holds the
	// smoothed number of requests sent per second.
	sent     atomic.Int64
	paceBits atomic.Uint64
	// What follows counts since the room was made; see RoomView.
	sentAfterWait, waited atomic.Int64
	refused               [numRanks]atomic.Int64
	// The fields below are guarded by the mutex of the Core's waitQueues. lastRetryAt is
	// when the last refused caller of each flow may retry, in nanoseconds.
	floors      *queue.Floors
	lastRetryAt map[string]int64
}

func newRoom(service string) *room {
	floors := queue.NewFloors(numRanks)
	rm := &room{poolStats: newPoolStats(service), floors: floors, lastRetryAt: make(map[string]int64)}
	rm.poolStats.queue, rm.poolStats.room = queue.NewWithFloors(maxQueued, floors), rm
	return rm
}

// addRooms gives the services their waiting rooms, those of old where there are any.
func (snap *snapshot) addRooms(old *snapshot) {
	for name, s := range snap.services {
		if prev, ok := old.services[name]; ok {
			s.room = prev.room
		} else {
			s.room = newRoom(name)
		}
	}
}

// roomOf returns the waiting room of the named service, or nil if its requests don't wait:
// the tables have no workspaces that share the room.
func (snap *snapshot) roomOf(service string) *room {
	if s, ok := snap.services[service]; ok && len(snap.tables.Workspaces) > 0 {
		return s.room
	}
	return nil
}

// rank returns the rank of r for scarce room: the priority of its workspace, then that of
// its route.
func (r *Request) rank() queue.Class {
	workspace := table.PriorityNormal
	if r.Workspace != nil && r.Workspace.Priority != "" {
		workspace = r.Workspace.Priority
	}
	return priorityClasses*classOf(workspace) + classOf(r.Route.Priority)
}

// roomFlow returns the name under which r takes turns: that of its workspace. All requests
// without one take turns together: their members are what callers say, who could take as many
// turns as they name members, or those of a workspace.
func (r *Request) roomFlow() string {
	if r.Workspace == nil {
		return ""
	}
	return r.Workspace.Name
}

// decideInRoom sends r to a target with room for its rank, or lets it wait for room, or
// refuses it if its turn would come too late.
func (c *Core) decideInRoom(snap *snapshot, rm *room, now time.Time, r *Request) Decision {
	rank := r.rank()
	rm.recordUse(c.nanos(now), rank, r.Route)
	r.beginWait(now)
	w := &c.waitQueues
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Attempts == 0 && !r.countedInRoom {
		r.countedInRoom = true
		rm.floors.RecordArrival(rank)
	}
	// Those that wait have the first choice of what is free. They may refer to rows of newer
	// tables than snap already.
	for latest := c.snapshot.Load(); rm.queue.Len() > 0 && c.serveRoom(latest, rm, now); {
	}
	rm.queued.Store(int64(rm.queue.Len()))
	d, full := c.placeFromRoom(snap, rm, now, r)
	if d.Verdict == Dispatch && r.Attempts == 0 {
		rm.floors.RecordServed(rank)
	}
	if !full {
		return d
	}
	return c.waitInRoom(snap, rm, now, r, d.Diagnostics)
}

// placeFromRoom is place within the bounds of r's rank.
func (c *Core) placeFromRoom(snap *snapshot, rm *room, now time.Time, r *Request) (d Decision, full bool) {
	if d, full = c.place(snap, now, r, c.estimateInRoom(snap, rm, now, r)); d.Verdict == Dispatch {
		d.room = rm
		rm.sent.Add(1)
	}
	return d, full
}

// estimateInRoom is estimateFor within the bounds of r's rank.
func (c *Core) estimateInRoom(snap *snapshot, rm *room, now time.Time, r *Request) estimate {
	est := c.estimateFor(snap.routes[r.Route.Name], now, r)
	left := r.Deadline.Sub(now)
	work := min(est.warmWork, time.Duration(maxWorkFraction*float64(left)))
	waited := now.Sub(r.roomSince)
	est.maxWait = min(rm.waitBound(c.nanos(now), r.rank(), est.maxWait, waited), left-work)
	return est
}

// recordUse records that a request of the rank uses the service.
func (rm *room) recordUse(now int64, rank queue.Class, row *table.Route) {
	rm.targetLatency[rank].Store(int64(row.TargetLatency))
	rm.lastUsed[rank].Store(now)
}

// beginWait records when r first asked for room for its present attempt. What came before, as
// the arrival of its body or an earlier attempt, is no wait for room: a request of which that
// took long must find room at idle targets as others do.
func (r *Request) beginWait(now time.Time) {
	if r.roomSince.IsZero() || r.roomAttempt != r.Attempts {
		r.roomSince, r.roomAttempt = now, r.Attempts
	}
}

// waitBound returns how long a request of the rank may wait at a target beside the more
// urgent ranks that use the service. own is how long it may wait at all, waited how long it
// has.
func (rm *room) waitBound(now int64, rank queue.Class, own, waited time.Duration) time.Duration {
	for urgent := range rank {
		last := rm.lastUsed[urgent].Load()
		if last != 0 && now-last < rankActiveFor.Nanoseconds() {
			return time.Duration(patientWaitFraction * maxWaitFraction * float64(rm.targetLatency[urgent].Load()))
		}
	}
	return min(own-waited, time.Duration(urgentWaitFraction*float64(own)+agingFraction*float64(waited)))
}

// waitInRoom lets r wait, or refuses it. The caller holds the mutex of the wait queues.
func (c *Core) waitInRoom(snap *snapshot, rm *room, now time.Time, r *Request, why Diagnostics) Decision {
	w := &c.waitQueues
	// Tables that are newer than snap may have been applied to the queues already.
	w.tablesVersion = min(w.tablesVersion, snap.tables.Version)
	t := rm.turnOf(c, snap, r)
	if t.late(now) > 0 {
		d := rm.refuse(c, now, r, t.expected-max(0, t.until.Sub(now)), t.interval)
		d.Diagnostics = why
		return d
	}
	item := &queue.Item{Ticket: w.lastTicket.Add(1), Member: r.roomFlow(), Class: r.rank(), ExpiresAt: t.until, Value: r}
	c.depositFor(r)
	w.push(rm.poolStats, item, func(dropped *queue.Item) Wakeup {
		return Wakeup{Ticket: dropped.Ticket, Decision: rm.refuse(c, now, dropped.Value.(*Request), t.expected, t.interval)}
	})
	return w.takeReady(item.Ticket, rm.name)
}

// serveRoom sends the next waiting request that a target has room for. It reports false when
// all must go on waiting. The caller holds the mutex of the wait queues.
func (c *Core) serveRoom(snap *snapshot, rm *room, now time.Time) bool {
	w := &c.waitQueues
	heads := rm.queue.Heads(maxHeadsTried)
	for _, item := range heads {
		r := item.Value.(*Request)
		if refusal, ok := c.bindWaiting(snap, r, rm.poolStats); !ok {
			rm.queue.Remove(item.Ticket)
			w.resolve(item, refusal)
			return true
		}
		d, full := c.placeFromRoom(snap, rm, now, r)
		switch {
		case d.Verdict == Dispatch:
			rm.queue.Take(item)
			rm.sentAfterWait.Add(1)
			rm.waited.Add(now.Sub(r.roomSince).Nanoseconds())
			started, ok := c.startQueued(snap, now, r, d)
			if !ok || r.Attempts > 0 {
				// The first attempt counts for the request.
				rm.floors.RecordReturned(item.Class)
			}
			w.resolve(item, started)
			return true
		case !full && d.Kind == fault.KindNoTarget:
			rm.queue.Remove(item.Ticket)
			w.resolve(item, d)
			return true
		}
	}
	// There may be room for the flows that have not been tried.
	rm.queue.Skip(heads)
	return false
}

// advanceRooms updates the paces of the waiting rooms and forgets the refused callers that may
// retry by now. The caller holds the write lock and calls it once in each
// RecomputeInterval.
func (c *Core) advanceRooms(now time.Time) {
	for _, s := range c.snapshot.Load().services {
		s.room.forgetPastRetries(c, now)
		perSecond := float64(s.room.sent.Swap(0)) / RecomputeInterval.Seconds()
		pace := math.Float64frombits(s.room.paceBits.Load())
		s.room.paceBits.Store(math.Float64bits(pace + paceSampleWeight*(perSecond-pace)))
	}
}

// forgetPastRetries drops the flows whose refused callers may all have retried before now.
func (rm *room) forgetPastRetries(c *Core, now time.Time) {
	c.waitQueues.mu.Lock()
	defer c.waitQueues.mu.Unlock()
	ns := c.nanos(now)
	maps.DeleteFunc(rm.lastRetryAt, func(_ string, at int64) bool { return at < ns })
}
