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

// maxProbeBodyBytes limits the body of a response to a probe.
const maxProbeBodyBytes = 64 << 10

// ProbeResult is the result of a probe.
type ProbeResult struct {
	// Healthy is true when the health endpoint returned a success.
	Healthy bool
	// Load is the load that the target reports, valid if LoadKnown is true.
	Load      wire.TargetLoad
	LoadKnown bool
	// Leaving is true when either endpoint reports that the target is leaving.
	Leaving bool
	// ColdRemaining is how much longer the target's caches will be cold.
	ColdRemaining time.Duration
}

// Probe reads the target's health and load. A failed request leaves its part of the
// result unset.
func (c *Client) Probe(ctx context.Context) ProbeResult {
	if c.healthPath != "" {
		return c.probeHealth(ctx)
	}
	var result ProbeResult
	health, _, err := c.getEndpoint(ctx, wire.PathTargetHealth)
	if err != nil {
		return result
	}
	result.Healthy = health.status < http.StatusMultipleChoices
	result.Leaving = health.leaving
	load, body, err := c.getEndpoint(ctx, wire.PathTargetLoad)
	if err != nil || load.status != http.StatusOK {
		return result
	}
	result.LoadKnown = json.Unmarshal(body, &result.Load) == nil
	if result.Load.WorkPercent < 0 || result.Load.WorkPercent > maxWorkPercent {
		result.Load.WorkPercent = 0
	}
	result.Leaving = result.Leaving || load.leaving || (result.LoadKnown && result.Load.Leaving)
	return result
}

// probeHealth reads the health endpoint only, on a platform without a load endpoint.
func (c *Client) probeHealth(ctx context.Context) ProbeResult {
	health, _, err := c.getEndpoint(ctx, c.healthPath)
	if err != nil || c.dialect.HealthTargetID != "" && health.header.Get(c.dialect.HealthTargetID) != c.name {
		return ProbeResult{}
	}
	result := ProbeResult{Healthy: health.status < http.StatusMultipleChoices, Leaving: health.leaving}
	if ms, err := strconv.ParseInt(health.header.Get(c.dialect.HealthColdMS), 10, 64); err == nil && ms > 0 {
		result.ColdRemaining = time.Duration(ms) * time.Millisecond
	}
	if l := parseLoad(health.header, &c.dialect); l != nil {
		result.Load = wire.TargetLoad{InFlight: l.Running, Queued: l.Waiting, Slots: l.Slots, WorkPercent: l.WorkPercent}
		result.LoadKnown = true
	}
	return result
}

// probeResponse is the status and header of a response to a probe.
type probeResponse struct {
	status  int
	leaving bool
	header  http.Header
}

// getEndpoint sends a GET request to one of the target's own endpoints and returns
// the response with its body.
func (c *Client) getEndpoint(ctx context.Context, path string) (probeResponse, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.pool.Address()+path, http.NoBody)
	if err != nil {
		return probeResponse{}, nil, err
	}
	resp, err := c.pool.Send(ctx, r)
	if err != nil {
		return probeResponse{}, nil, c.wrapError(upstream.AsError(err))
	}
	defer resp.Close()
	c.preventReuseAfterRefusal(resp)
	if name, ok := c.isFromTarget(resp.Header); !ok {
		return probeResponse{}, nil, fault.New(fault.KindTargetGarbage, "target %s: probe response is from server %s", c.name, quote(name))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxProbeBodyBytes+1))
	if err == nil && len(body) > maxProbeBodyBytes {
		err = fault.New(fault.KindTargetGarbage, "probe response of target %s exceeds %d bytes", c.name, maxProbeBodyBytes)
	}
	return probeResponse{resp.StatusCode, parseLeaving(resp.Header, &c.dialect), resp.Header}, body, err
}

// InFlight returns the number of requests in flight on the connections to the target.
func (c *Client) InFlight() int { return c.pool.BusyConnections() }
