package upstream

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/connpool"
)

// reuse is what the pools of a Dialer share about the reuse of connections. It is safe for
// concurrent use.
type reuse struct {
	limits connpool.Limits

	mu       sync.Mutex
	evidence connpool.Evidence
	// available is how many more connections may be idle.
	available int
}

// follows reports whether the announced idle time of c is in use.
func (r *reuse) follows(c *conn) bool { return r.limits.MaxAnnounced > 0 && c.announced > 0 }

// recordResponse records a response on c, if its server announces its idle time.
func (r *reuse) recordResponse(now time.Time, c *conn) {
	if !r.follows(c) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.RecordResponse(now, c.opened)
}

// recordLoss records that an exchange on c of p failed with err without a byte of its
// response, if c followed an announced idle time. It is called with p.mu held.
func (r *reuse) recordLoss(now time.Time, p *Pool, c *conn, err error) {
	if !r.follows(c) {
		return
	}
	var netErr net.Error
	loss := connpool.Loss{
		Idle: c.idleBefore, Waited: now.Sub(c.requestStart),
		ProbesUnanswered: errors.As(err, &netErr) && netErr.Timeout(),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.RecordLoss(now, r.limits, &p.trust, loss)
}

// addIdle counts c as idle. It returns false if too many connections are.
func (r *reuse) addIdle(c *conn) bool {
	if !r.follows(c) {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.available == 0 {
		return false
	}
	r.available--
	c.countsAsIdle = true
	return true
}

// removeIdle undoes addIdle.
func (r *reuse) removeIdle(c *conn) {
	if !c.countsAsIdle {
		return
	}
	c.countsAsIdle = false
	r.mu.Lock()
	defer r.mu.Unlock()
	r.available++
}

// describe returns what decides on the reuse of the idle connection c of p. It is called
// with p.mu held.
func (r *reuse) describe(p *Pool, c *conn, now time.Time) connpool.Idle {
	if !r.follows(c) {
		return connpool.Idle{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return connpool.Idle{
		Announced: min(c.announced, p.announced),
		Trusted:   p.trust.Trusted(now) && r.evidence.Trusted(now),
		Vouched:   r.evidence.Vouches(now, c.idleSince),
	}
}
