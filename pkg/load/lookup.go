package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/standin"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// maxLookupBytes is the largest accepted size of a lookup response.
const maxLookupBytes = 1 << 20

// lookupTimeout is the timeout of one lookup request to one instance.
const lookupTimeout = 500 * time.Millisecond

// lookups caches lookup responses by route for their time to live.
type lookups struct {
	entryAddresses []string
	client         *http.Client

	mu     sync.Mutex
	routes map[string]*cachedRoute
}

// cachedRoute holds the current lookup response for one route. Its mutex
// prevents concurrent refreshes.
type cachedRoute struct {
	mu       sync.Mutex
	response wire.LookupAnswer
	expires  time.Time
}

// get returns the lookup response for route. It keeps using an expired response
// if no instance returns a new one.
func (l *lookups) get(ctx context.Context, route string) (wire.LookupAnswer, error) {
	c := l.cached(route)
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.response, nil
	}
	response, err := l.fetch(ctx, route, c.response)
	if err != nil {
		if len(c.response.Instances) > 0 {
			return c.response, nil
		}
		return wire.LookupAnswer{}, err
	}
	c.response = response
	c.expires = time.Now().Add(time.Duration(response.TTLMS) * time.Millisecond)
	return response, nil
}

// expire makes the next get for route fetch a new response.
func (l *lookups) expire(route string) {
	c := l.cached(route)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

func (l *lookups) cached(route string) *cachedRoute {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.routes[route]
	if !ok {
		c = &cachedRoute{}
		l.routes[route] = c
	}
	return c
}

// fetch sends the lookup to the entry addresses, starting at a random one, and
// then to the instances of the old response, until one succeeds.
func (l *lookups) fetch(ctx context.Context, route string, old wire.LookupAnswer) (wire.LookupAnswer, error) {
	first := rand.IntN(len(l.entryAddresses))
	var addresses []string
	for i := range l.entryAddresses {
		addresses = append(addresses, l.entryAddresses[(first+i)%len(l.entryAddresses)])
	}
	for _, in := range old.Instances {
		addresses = append(addresses, in.Address)
	}
	var err error
	for _, a := range addresses {
		var response wire.LookupAnswer
		if response, err = l.fetchFrom(ctx, a, route); err == nil {
			return response, nil
		}
	}
	return wire.LookupAnswer{}, err
}

// fetchFrom sends the lookup to the instance at address.
func (l *lookups) fetchFrom(ctx context.Context, address, route string) (wire.LookupAnswer, error) {
	var response wire.LookupAnswer
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	u := "http://" + address + wire.PathLookup + "?route=" + url.QueryEscape(route)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return response, err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return response, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLookupBytes))
	if err != nil {
		return response, err
	}
	if resp.StatusCode != http.StatusOK {
		return response, fmt.Errorf("lookup of route %s at %s returned status %d", route, address, resp.StatusCode)
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return response, fmt.Errorf("lookup of route %s at %s returned an invalid response: %w", route, address, err)
	}
	if len(response.Instances) == 0 {
		return response, fmt.Errorf("lookup of route %s at %s returned no instances", route, address)
	}
	for _, in := range response.Instances {
		if err := standin.RequireLoopback(in.Address); err != nil {
			return response, err
		}
	}
	return response, nil
}

// chooseInstance picks an instance of the lowest order at random by weight. It
// skips those in tried unless all have been tried.
func chooseInstance(response wire.LookupAnswer, tried map[string]bool) wire.LookupInstance {
	candidates := lowestOrderInstances(response.Instances, tried)
	if len(candidates) == 0 {
		candidates = lowestOrderInstances(response.Instances, nil)
	}
	sum := 0
	for _, in := range candidates {
		sum += max(in.Weight, 1)
	}
	n := rand.IntN(sum)
	for _, in := range candidates {
		n -= max(in.Weight, 1)
		if n < 0 {
			return in
		}
	}
	return candidates[0]
}

// lowestOrderInstances returns the untried instances of the lowest order that
// has any.
func lowestOrderInstances(all []wire.LookupInstance, tried map[string]bool) []wire.LookupInstance {
	var best []wire.LookupInstance
	for _, in := range all {
		switch {
		case tried[in.ID]:
		case len(best) == 0 || in.Order < best[0].Order:
			best = []wire.LookupInstance{in}
		case in.Order == best[0].Order:
			best = append(best, in)
		}
	}
	return best
}
