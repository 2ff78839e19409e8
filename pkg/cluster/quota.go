package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/decision/quota"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

const (
	// quotaTick is the time between two checks for asks that are due, while any
	// workspace with a limit is in use, quotaIdleTick while none is.
	quotaTick     = 30 * time.Millisecond
	quotaIdleTick = 500 * time.Millisecond
)

// quotas keeps the limits of workspaces together with the other instances.
type quotas struct {
	cluster *Cluster
	due     chan struct{} // a request waits for tokens

	// mu guards the fields below. It is held for short computations only.
	mu    sync.Mutex
	state *quota.Quotas
	// tables, members and unreachable are what state was last given.
	tables      *table.Tables
	members     *memberList
	unreachable *[]string
	addresses   map[string]string // of members, by ID
	// answered has, for each workspace with waiting requests, the channel that is closed
	// when they should be decided on again.
	answered map[string]chan struct{}
	// calls are those of asks and to holders. They may begin while running is set.
	calls   conc.WaitGroup
	running bool
}

func newQuotas(c *Cluster) *quotas {
	return &quotas{
		cluster: c, due: make(chan struct{}, 1), answered: map[string]chan struct{}{},
		state: quota.New(time.Now(), c.self.ID, c.self.Incarnation, c.cfg.Rand),
	}
}

// refresh gives state the tables and members in force. The caller holds mu.
func (q *quotas) refresh(now time.Time) {
	if t := q.cluster.tables.Load(); t != q.tables && t != nil {
		q.tables = t
		q.state.SetLimits(now, t.Workspaces)
	}
	members, unreachable := q.cluster.members.Load(), q.cluster.unreachableCells.Load()
	if !q.state.Limited() || members == q.members && unreachable == q.unreachable {
		return
	}
	q.members, q.unreachable = members, unreachable
	q.addresses = make(map[string]string, len(members.list))
	list := make([]quota.Member, 0, len(members.list))
	for _, in := range members.list {
		info := toInfo(in)
		silent := members.suspected[in.ID] || slices.Contains(*unreachable, info.EffectiveCell())
		q.addresses[in.ID] = in.PeerAddress
		list = append(list, quota.Member{ID: in.ID, Incarnation: in.Incarnation, Region: in.Region, LinkMbps: in.LinkMbps, Silent: silent, Leaving: in.Leaving})
	}
	q.state.SetMembers(now, list, members.complete)
}

// handle answers an ask of another instance.
func (q *quotas) handle(a *quota.Ask) *quota.Answer {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.refresh(now)
	return q.state.Handle(now, a)
}

// quotaLoop asks the owners of workspaces for tokens.
func (c *Cluster) quotaLoop(ctx context.Context) {
	c.quotas.setRunning(true)
	defer c.quotas.calls.Wait()
	defer c.quotas.setRunning(false)
	for {
		asks, active := c.quotas.asks()
		for _, o := range asks {
			c.quotas.calls.Go(func() { c.quotas.ask(ctx, o) })
		}
		interval := quotaIdleTick
		if active {
			interval = quotaTick
		}
		if !sleep(ctx, interval, c.quotas.due) {
			return
		}
	}
}

func (q *quotas) setRunning(running bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running = running
}

// outgoingAsk is an ask with the address of its receiver.
type outgoingAsk struct {
	quota.Outgoing
	address string
}

// asks returns the asks that are due, and whether any workspace with a limit is in use.
func (q *quotas) asks() (asks []outgoingAsk, active bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.refresh(now)
	for _, o := range q.state.Asks(now) {
		asks = append(asks, outgoingAsk{o, q.addresses[o.To]})
	}
	return asks, q.state.Active()
}

// ask sends an ask and applies the answer. The call outlasts AnswerTimeout: a call that
// times out closes the connection, which others use as well.
func (q *quotas) ask(ctx context.Context, o outgoingAsk) {
	late := time.AfterFunc(quota.AnswerTimeout, func() { q.apply(o.Outgoing, nil) })
	defer late.Stop()
	ctx, cancel := context.WithTimeout(ctx, q.cluster.timing.CallTimeout)
	defer cancel()
	reply := &instance.QuotaReply{}
	err := q.cluster.cfg.Peers.Call(ctx, o.address, instance.MethodQuota, &instance.QuotaRequest{Ask: *o.Ask}, reply)
	if err != nil || reply.Validate() != nil {
		q.apply(o.Outgoing, nil)
		return
	}
	q.apply(o.Outgoing, &reply.Answer)
}

// apply applies the answer to an ask, nil without one, and has the requests that wait for
// it decided on again.
func (q *quotas) apply(o quota.Outgoing, answer *quota.Answer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, name := range q.state.Answered(time.Now(), o, answer) {
		if ch := q.answered[name]; ch != nil {
			close(ch)
			delete(q.answered, name)
		}
	}
}

// AdmitRequest decides whether a request of a workspace may be sent. It waits for tokens
// at most until quota.AnswerTimeout, wait, or the end of ctx.
func (c *Cluster) AdmitRequest(ctx context.Context, workspace string, wait time.Duration) quota.Decision {
	q := c.quotas
	deadline := time.Now().Add(min(wait, quota.AnswerTimeout))
	d, decided, waited := q.askHolder(ctx, workspace)
	if decided {
		return d
	}
	for ; ; waited = true {
		d, answered := q.request(workspace, waited, deadline)
		if answered == nil {
			return d
		}
		signal(q.due)
		ended := !sleep(ctx, time.Until(deadline), answered)
		q.mu.Lock()
		q.state.SetWaiting(workspace, -1)
		q.mu.Unlock()
		if ended {
			d.Verdict = quota.Refuse
			return d
		}
	}
}

// askHolder has the holder of the region decide on a request, if it is to. It reports whether
// the request is decided on, and whether a holder was asked.
func (q *quotas) askHolder(ctx context.Context, workspace string) (d quota.Decision, decided, asked bool) {
	id, answered := q.beginHolderCall(workspace)
	if answered == nil {
		return quota.Decision{}, false, false
	}
	timeout := time.NewTimer(quota.HolderTimeout)
	defer timeout.Stop()
	var reply *quota.AdmissionReply
	select {
	case reply = <-answered:
	case <-timeout.C:
	case <-ctx.Done():
		return quota.Decision{Verdict: quota.Refuse, Reason: quota.ReasonAnswer}, true, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if reply == nil {
		q.state.HolderFailed(time.Now(), id)
		return quota.Decision{}, false, true
	}
	d, decided = q.state.Held(workspace, reply)
	return d, decided, true
}

// beginHolderCall asks the holder of a workspace, if there is one to ask, and returns it and a
// channel that receives its answer. The call outlasts HolderTimeout: a call that times out
// closes the connection, which others use as well.
func (q *quotas) beginHolderCall(workspace string) (id string, answered <-chan *quota.AdmissionReply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.running {
		return "", nil
	}
	now := time.Now()
	q.refresh(now)
	id, ok := q.state.Holder(now, workspace)
	if !ok {
		return "", nil
	}
	address, replies := q.addresses[id], make(chan *quota.AdmissionReply, 1)
	q.calls.Go(func() { replies <- q.callHolder(address, workspace) })
	return id, replies
}

// callHolder asks a holder to admit a request, and returns its answer, or nil without a
// valid one.
func (q *quotas) callHolder(address, workspace string) *quota.AdmissionReply {
	ctx, cancel := context.WithTimeout(context.Background(), q.cluster.timing.CallTimeout)
	defer cancel()
	reply := &instance.AdmitReply{}
	request := &instance.AdmitRequest{Admission: quota.Admission{Workspace: workspace}}
	if err := q.cluster.cfg.Peers.Call(ctx, address, instance.MethodAdmit, request, reply); err != nil || reply.Validate() != nil {
		return nil
	}
	return &reply.AdmissionReply
}

// admitFor decides on a request of another instance of the region.
func (q *quotas) admitFor(a *quota.Admission) *quota.AdmissionReply {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.refresh(now)
	return q.state.AdmitFor(now, a)
}

// request decides on a request. If it should wait, it also returns the channel that is
// closed when it should be decided on again.
func (q *quotas) request(workspace string, waited bool, deadline time.Time) (quota.Decision, <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.refresh(now)
	d := q.state.Request(now, workspace, waited)
	if d.Verdict != quota.Wait {
		return d, nil
	}
	if !now.Before(deadline) {
		d.Verdict = quota.Refuse
		return d, nil
	}
	q.state.SetWaiting(workspace, 1)
	ch := q.answered[workspace]
	if ch == nil {
		ch = make(chan struct{})
		q.answered[workspace] = ch
	}
	return d, ch
}

// PeekQuota returns what this instance knows about the quota of a workspace; see
// quota.Quotas.Peek. The tables and members that it is based on may be quotaIdleTick old.
func (c *Cluster) PeekQuota(workspace string) (k quota.Known, limited bool) {
	c.quotas.mu.Lock()
	defer c.quotas.mu.Unlock()
	return c.quotas.state.Peek(time.Now(), workspace)
}

// ReturnToken gives back the token of a request that was admitted under d, and then not
// sent.
func (c *Cluster) ReturnToken(workspace string, d quota.Decision) {
	c.quotas.mu.Lock()
	defer c.quotas.mu.Unlock()
	c.quotas.state.Return(time.Now(), workspace, d)
}

// OwnedQuotas returns the state of the workspaces whose tokens this instance grants.
func (c *Cluster) OwnedQuotas() []quota.Status {
	c.quotas.mu.Lock()
	defer c.quotas.mu.Unlock()
	return c.quotas.state.Owned()
}
