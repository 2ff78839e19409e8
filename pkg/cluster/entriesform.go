package cluster

import (
	"context"
	"maps"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/instance"
)

// minTransferRate is the rate in bytes per second at which an instance sends an
// announcement to all its recipients at least: a little less than the slowest links have.
const minTransferRate = 1 << 20

// promptBytes is the number of bytes whose transfer is a part of CallTimeout.
const promptBytes = 64 << 10

// patchRefusalTTL is how long a member that has refused a patch gets whole configurations.
const patchRefusalTTL = 30 * time.Second

// patchRefusals holds until when members get whole configurations, by id and incarnation:
// instances of an earlier build know no patches.
type patchRefusals map[memberKey]time.Time

// memberKey identifies one incarnation of an instance.
type memberKey struct{ id, incarnation string }

// formFor returns the method by which an announcement is sent to a member, and the form of
// its entries: patches unless the member is of a build that knows none.
func (c *Cluster) formFor(m *member.Info, a *announcement) (instance.Method, *instance.EncodedEntries) {
	if a.patched == nil {
		return instance.MethodAnnounce, a.request.Entries
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.discovery.patchRefusals[memberKey{m.ID, m.Incarnation}]) {
		return instance.MethodAnnounce, a.request.Entries
	}
	return instance.MethodAnnouncePatch, a.patched
}

// recordPatchRefusal records that a member has refused patches, if err says so, and reports
// whether it does.
func (c *Cluster) recordPatchRefusal(m *member.Info, method instance.Method, err error) bool {
	if method != instance.MethodAnnouncePatch || fault.KindOf(err) != fault.KindBadRequest {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(c.discovery.patchRefusals, func(_ memberKey, until time.Time) bool { return now.After(until) })
	c.discovery.patchRefusals[memberKey{m.ID, m.Incarnation}] = now.Add(patchRefusalTTL)
	return true
}

// sendTo sends an announcement to one member, in the form that the member accepts.
func (c *Cluster) sendTo(ctx context.Context, m member.Info, a *announcement) error {
	for {
		method, entries := c.formFor(&m, a)
		request := *a.request
		request.Entries = entries
		if request.HasFeedReader {
			request.FeedReaderAge += time.Since(a.madeAt)
		}
		err := c.callWithin(ctx, c.announceTimeout(entries, a.recipients), m, method, &request, &instance.AnnounceReply{})
		if !c.recordPatchRefusal(&m, method, err) {
			return err
		}
	}
}

// announceTimeout returns the timeout of an announcement that is sent to several members at
// once. They share the sender's link: a call that is given up while its transfer goes on
// only begins the same transfer again.
func (c *Cluster) announceTimeout(entries *instance.EncodedEntries, recipients int) time.Duration {
	excess := max(0, entries.Size()*max(recipients, 1)-promptBytes)
	return c.timing.CallTimeout + time.Duration(excess)*time.Second/minTransferRate
}
