package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/upstream"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// maxReportBytes bounds a load report.
const maxReportBytes = 64 << 10

// ProbeResult is what a probe has learnt.
type ProbeResult struct {
	// Healthy is true when the health endpoint answered with a success.
	Healthy bool
	// Load is the target's own report; LoadKnown is false without one.
	Load      wire.TargetLoad
	LoadKnown bool
	// Leaving is true when either endpoint says that the target is leaving.
	Leaving bool
	// ColdRemaining is how much longer the target's caches are cold.
	ColdRemaining time.Duration
}

// Probe asks for the target's health and load.
func (c *Client) Probe(ctx context.Context) ProbeResult {
	if c.healthPath != "" {
		return c.probeHealth(ctx)
	}
	var rep ProbeResult
	health, _, err := c.ask(ctx, wire.PathTargetHealth)
	if err != nil {
		return rep
	}
	rep.Healthy = health.status < http.StatusMultipleChoices
	rep.Leaving = health.leaving
	load, body, err := c.ask(ctx, wire.PathTargetLoad)
	if err != nil || load.status != http.StatusOK {
		return rep
	}
	rep.LoadKnown = json.Unmarshal(body, &rep.Load) == nil
	rep.Leaving = rep.Leaving || load.leaving || (rep.LoadKnown && rep.Load.Leaving)
	return rep
}

// probeHealth asks only the health endpoint, on a platform that has no other.
func (c *Client) probeHealth(ctx context.Context) ProbeResult {
	health, _, err := c.ask(ctx, c.healthPath)
	if err != nil || c.dialect.TargetID != "" && health.header.Get(c.dialect.TargetID) != c.name {
		return ProbeResult{}
	}
	rep := ProbeResult{Healthy: health.status < http.StatusMultipleChoices, Leaving: health.leaving}
	if ms, err := strconv.ParseInt(health.header.Get(c.dialect.ColdMS), 10, 64); err == nil && ms > 0 {
		rep.ColdRemaining = time.Duration(ms) * time.Millisecond
	}
	if l := readLoad(health.header, &c.dialect); l != nil {
		rep.Load = wire.TargetLoad{InFlight: l.Running, Queued: l.Waiting, Slots: l.Slots}
		rep.LoadKnown = true
	}
	return rep
}

// probeAnswer is the head of an endpoint's answer.
type probeAnswer struct {
	status  int
	leaving bool
	header  http.Header
}

// ask reads one of the target's own endpoints.
func (c *Client) ask(ctx context.Context, path string) (probeAnswer, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.pool.Address()+path, http.NoBody)
	if err != nil {
		return probeAnswer{}, nil, err
	}
	a, err := c.pool.Send(ctx, r)
	if err != nil {
		return probeAnswer{}, nil, c.fault(upstream.AsError(err))
	}
	defer a.Close()
	if name, ok := c.ownAnswer(a.Header); !ok {
		return probeAnswer{}, nil, fault.New(fault.KindTargetGarbage, "target %s: the server %q has its address", c.name, name)
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxReportBytes+1))
	if err == nil && len(body) > maxReportBytes {
		err = fault.New(fault.KindTargetGarbage, "the report of target %s is longer than %d bytes", c.name, maxReportBytes)
	}
	return probeAnswer{a.StatusCode, saysLeaving(a.Header, &c.dialect), a.Header}, body, err
}

// InFlight returns the number of requests on the target's connections.
func (c *Client) InFlight() int { return c.pool.BusyConnections() }
