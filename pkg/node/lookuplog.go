package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/decision/lookup"
)

// remoteLookupLogInterval is the shortest time between two log lines on lookup
// responses without instances of the caller's region.
const remoteLookupLogInterval = time.Second

// recordLookup counts a lookup response by the instances that it names for name, a host
// or a route, and returns its scope. If no instance is of the caller's region, it also
// logs why.
func (n *Node) recordLookup(name string, q lookup.Query, named []lookup.Instance) lookup.Scope {
	scope := lookup.ScopeOf(q.Caller, q.Allowed, named)
	if n.metrics != nil {
		n.metrics.CountLookup(string(scope))
	}
	if scope != lookup.ScopeOwnRegion {
		n.logRemoteLookup(name, q, scope, named)
	}
	return scope
}

// logRemoteLookup logs a lookup response without instances of the caller's region.
func (n *Node) logRemoteLookup(name string, q lookup.Query, scope lookup.Scope, named []lookup.Instance) {
	now := n.now()
	omitted, ok := n.remoteLookups.Allow(now)
	if !ok {
		return
	}
	count := lookup.CountRegion(q.Caller.Region, q.Instances)
	fields := []zap.Field{
		zap.String("name", name), zap.String("region", q.Caller.Region), zap.String("scope", string(scope)),
		zap.Strings("named", lookup.Regions(named)), zap.Uint64("tables", n.snapshot.Load().tables.Version),
		zap.Int("listed", count.Listed), zap.Int("leaving", count.Leaving), zap.Int("unreachable", count.Unreachable),
		zap.Bool("self_leaving", n.leaving()), zap.Int("omitted", omitted),
	}
	if t, ok := n.cluster.(ListTimer); ok {
		if at, ok := t.ListReadAt(); ok {
			fields = append(fields, zap.Duration("list_age", now.Sub(at)))
		}
	}
	n.log.Info("lookup response without instances of the caller's region", fields...)
}
