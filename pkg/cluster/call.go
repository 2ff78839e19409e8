package cluster

import (
	"context"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
)

// call sends one call to another instance and records in the view whether the
// instance was reached.
func (c *Cluster) call(ctx context.Context, to member.Info, m instance.Method, params, result any) error {
	return c.callWithin(ctx, c.timing.CallTimeout, to, m, params, result)
}

// callWithin is call with a timeout.
func (c *Cluster) callWithin(ctx context.Context, timeout time.Duration, to member.Info, m instance.Method, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := c.cfg.Peers.Call(ctx, to.PeerAddress, m, params, result)
	c.mu.Lock()
	defer c.mu.Unlock()
	reached := err == nil || (fault.KindOf(err) != fault.KindPeerUnavailable && fault.KindOf(err) != fault.KindNone)
	c.view.ObserveCall(time.Now(), to.ID, reached)
	if instance.IsRefused(err) {
		c.observeRefusedConnection(time.Now(), to)
	}
	return err
}
