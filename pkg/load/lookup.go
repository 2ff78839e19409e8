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

// maxLookupBytes bounds a look-up answer.
const maxLookupBytes = 1 << 20

// lookupTimeout bounds one look-up at one instance.
const lookupTimeout = 500 * time.Millisecond

// lookups caches look-up answers by route for their time to live.
type lookups struct {
	entries []string
	client  *http.Client

	mu     sync.Mutex
	routes map[string]*cachedRoute
}

// cachedRoute is the present answer for one route. Its lock lets one caller
// at a time refresh it.
type cachedRoute struct {
	mu      sync.Mutex
	answer  wire.LookupAnswer
	expires time.Time
}

// get returns the answer for route. An expired answer is used on when no
// instance gives a new one.
func (l *lookups) get(ctx context.Context, route string) (wire.LookupAnswer, error) {
	c := l.cached(route)
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.answer, nil
	}
	answer, err := l.ask(ctx, route, c.answer)
	if err != nil {
		if len(c.answer.Instances) > 0 {
			return c.answer, nil
		}
		return wire.LookupAnswer{}, err
	}
	c.answer = answer
	c.expires = time.Now().Add(time.Duration(answer.TTLMS) * time.Millisecond)
	return answer, nil
}

// expire makes the next get for route ask again.
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

// ask asks the instances of the old answer and the entries, from a random one
// on, until one answers.
func (l *lookups) ask(ctx context.Context, route string, old wire.LookupAnswer) (wire.LookupAnswer, error) {
	first := rand.IntN(len(l.entries))
	var addresses []string
	for i := range l.entries {
		addresses = append(addresses, l.entries[(first+i)%len(l.entries)])
	}
	for _, in := range old.Instances {
		addresses = append(addresses, in.Address)
	}
	var err error
	for _, a := range addresses {
		var answer wire.LookupAnswer
		if answer, err = l.askOne(ctx, a, route); err == nil {
			return answer, nil
		}
	}
	return wire.LookupAnswer{}, err
}

// askOne asks the instance at address.
func (l *lookups) askOne(ctx context.Context, address, route string) (wire.LookupAnswer, error) {
	var answer wire.LookupAnswer
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	u := "http://" + address + wire.PathLookup + "?route=" + url.QueryEscape(route)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return answer, err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLookupBytes))
	if err != nil {
		return answer, err
	}
	if resp.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("look-up of %s at %s: status %d", route, address, resp.StatusCode)
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return answer, fmt.Errorf("look-up of %s at %s: %w", route, address, err)
	}
	if len(answer.Instances) == 0 {
		return answer, fmt.Errorf("look-up of %s at %s names no instance", route, address)
	}
	for _, in := range answer.Instances {
		if err := standin.RequireLoopback(in.Address); err != nil {
			return answer, err
		}
	}
	return answer, nil
}

// choose picks an instance of the lowest order by weight, and leaves out
// those in tried as long as others are left.
func choose(answer wire.LookupAnswer, tried map[string]bool) wire.LookupInstance {
	candidates := lowestOrder(answer.Instances, tried)
	if len(candidates) == 0 {
		candidates = lowestOrder(answer.Instances, nil)
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

// lowestOrder returns the untried instances of the lowest order that has any.
func lowestOrder(all []wire.LookupInstance, tried map[string]bool) []wire.LookupInstance {
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
