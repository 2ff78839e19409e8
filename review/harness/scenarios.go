package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The services of the deployment.
const (
	catalogue = "catalogue"
	archive   = "archive"
)

const (
	// settle is how long after a change of the config or of an entry the clients wait:
	// more than ConfigApplyS.
	settle = 3 * time.Second
	// warmUp is the number of requests that are answered before the disruption, so that
	// a single spoilt answer stays within the share of answers that the pages allow.
	warmUp = 60
)

// zoneOf returns the zone of the i-th place.
func zoneOf(i int) string { return places[i].zone }

// serveAll sends n requests, one after the other, and reports whether all are served.
func serveAll(c *client, n int, method, path, object string) error {
	for range n {
		if id, a := c.do(method, path, object); a.err != nil || a.status != http.StatusOK {
			return fmt.Errorf("%w: %s is not served before the disruption: %d, %w", errNotRun, id, a.status, a.err)
		}
	}
	return nil
}

// lateRefusal has an upstream send the refusal of one request a second time, late: where the
// answer to the next request on the connection is expected. Rule: TWICE.
func lateRefusal(w *world) (broken bool, err error) {
	faulty, err := w.addUpstream("i-7f3a91c2", catalogue, zoneOf(0), 2)
	if err != nil {
		return false, err
	}
	sound, err := w.addUpstream("i-02d9e6b4", catalogue, zoneOf(0), 8)
	if err != nil {
		return false, err
	}
	w.putConfig([]string{catalogue}, []route{{"/stock/", catalogue, kindIdempotent, true, 0}, {"/order/", catalogue, kindNonIdempotent, true, 0}})
	if err := w.startInstances(); err != nil {
		return false, err
	}
	orders, err := w.connect(w.instances[0])
	if err != nil {
		return false, err
	}
	defer orders.close()
	object, err := objectOf(orders, faulty)
	if err != nil {
		return false, err
	}
	if err := serveAll(orders, warmUp, http.MethodPost, "/order/2f", object); err != nil {
		return false, err
	}
	var refused string
	faulty.doubleRefusal = func(id string) bool { refused = id; return w.trouble }
	ids := []string{}
	for range 10 {
		more, err := w.orderWhileFull(orders, faulty, object)
		if err != nil {
			return false, err
		}
		ids = append(ids, more...)
		if refused != "" {
			break
		}
	}
	if refused == "" {
		return false, fmt.Errorf("%w: the upstream was never full", errNotRun)
	}
	faulty.doubleRefusal = nil
	for _, id := range ids {
		runs := faulty.runsOf(id) + sound.runsOf(id)
		w.rec.add("order %s ran %d times: %d at %s, %d at %s", id, runs, faulty.runsOf(id), faulty.id, sound.runsOf(id), sound.id)
		broken = broken || runs > 1
	}
	w.rec.add("of %d answers of %s, 1 was sent twice: %t", faulty.answers, faulty.id, w.trouble)
	return broken, nil
}

// objectOf returns an object whose requests go to u.
func objectOf(c *client, u *upstream) (string, error) {
	for i := range 20 {
		object := fmt.Sprint(100 + i)
		if _, a := c.do(http.MethodGet, "/stock/2f", object); strings.HasPrefix(a.stamp, u.id) {
			return object, nil
		}
	}
	return "", fmt.Errorf("%w: no object goes to %s", errNotRun, u.id)
}

// orderWhileFull fills u with two look-ups that another instance sends, has an order refused
// there, and sends two more orders shortly after the look-ups have ended. It returns the
// ids of the orders.
func (w *world) orderWhileFull(orders *client, u *upstream, object string) (ids []string, err error) {
	const (
		lookupTime = 400 * time.Millisecond
		// refusedBefore is how long before the end of the look-ups the order is refused,
		// nextAfter how long after the refusal the next one is sent.
		refusedBefore = 25 * time.Millisecond
		nextAfter     = 70 * time.Millisecond
	)
	path := fmt.Sprintf("/stock/2f?work=%d", lookupTime.Milliseconds())
	start := time.Now()
	for range u.slots {
		c, err := w.connect(w.instances[1])
		if err != nil {
			return nil, err
		}
		go func() { defer c.close(); c.do(http.MethodGet, path, object) }()
	}
	if !await(200*time.Millisecond, func() bool { return u.busy() == u.slots }) {
		return nil, nil
	}
	time.Sleep(time.Until(start.Add(lookupTime - refusedBefore)))
	id, _ := orders.do(http.MethodPost, "/order/2f", object)
	ids = append(ids, id)
	time.Sleep(nextAfter)
	for range 2 {
		id, _ := orders.do(http.MethodPost, "/order/2f", object)
		ids = append(ids, id)
	}
	return ids, nil
}

// prefix adds a longer route, whose prefix without its last slash is the path of requests
// of the shorter one. Rule: ROUTE.
func prefix(w *world) (broken bool, err error) {
	old, err := w.addUpstream("i-7f3a91c2", catalogue, zoneOf(0), 6)
	if err != nil {
		return false, err
	}
	other, err := w.addUpstream("i-02d9e6b4", archive, zoneOf(0), 6)
	if err != nil {
		return false, err
	}
	services := []string{catalogue, archive}
	routes := []route{{"/stock/", catalogue, kindNonIdempotent, false, 0}}
	w.putConfig(services, routes)
	if err := w.startInstances(); err != nil {
		return false, err
	}
	c, err := w.connect(w.instances[0])
	if err != nil {
		return false, err
	}
	defer c.close()
	if err := serveAll(c, 5, http.MethodPost, "/stock/tiles", ""); err != nil {
		return false, err
	}
	if w.trouble {
		w.putConfig(services, append(routes, route{"/stock/tiles/", archive, kindNonIdempotent, false, 0}))
		time.Sleep(settle)
	}
	for range 5 {
		id, _ := c.do(http.MethodPost, "/stock/tiles", "")
		w.rec.add("order %s for /stock/tiles: ran %d times at %s, %d times at %s", id, old.runsOf(id), old.service, other.runsOf(id), other.service)
		broken = broken || other.runsOf(id) > 0
	}
	return broken, nil
}

// statusLine has an upstream send bytes that are no answer in front of one of its answers.
// Rule: MIXED.
func statusLine(w *world) (broken bool, err error) {
	u, err := w.addUpstream("i-7f3a91c2", catalogue, zoneOf(0), 6)
	if err != nil {
		return false, err
	}
	if _, err := w.addUpstream("i-02d9e6b4", catalogue, zoneOf(1), 6); err != nil {
		return false, err
	}
	w.putConfig([]string{catalogue}, []route{{"/stock/", catalogue, kindIdempotent, false, 0}})
	if err := w.startInstances(); err != nil {
		return false, err
	}
	c, err := w.connect(w.instances[0])
	if err != nil {
		return false, err
	}
	defer c.close()
	if err := serveAll(c, warmUp, http.MethodGet, "/stock/2f", ""); err != nil {
		return false, err
	}
	if w.trouble {
		u.beforeAnswer = func(string) []byte {
			if u.spoilt++; u.spoilt > 1 {
				return nil
			}
			return []byte("HTTP/1.1 000 \r\n\r\n")
		}
	}
	for range warmUp / 2 {
		id := newID()
		w.rec.add("client: sends %s", id)
		if err := c.send(request(http.MethodGet, "/stock/2f", id, "")); err != nil {
			return false, err
		}
		_ = c.nc.SetReadDeadline(time.Now().Add(deadlineMS * time.Millisecond))
		line, err := c.br.Peek(len("HTTP/1.1 200 "))
		w.rec.add("client: the answer to %s begins with %q, %v", id, line, err)
		if err != nil {
			return false, nil //nolint:nilerr // a closed connection promises nothing
		}
		if status, err := strconv.Atoi(strings.TrimSpace(string(line[len("HTTP/1.1 "):]))); err != nil || status < http.StatusContinue {
			w.rec.add("of %d answers of %s, %d was spoilt", u.answers, u.id, u.spoilt)
			return true, nil
		}
		if a := c.read(id); a.err != nil {
			return false, nil
		}
	}
	return false, nil
}

// answerOrder has one upstream of a service work slowly, while the client waits for its
// answer and, behind it on the same connection, for answers of another service whose route
// has a shorter timeout. Rule: LOST.
func answerOrder(w *world) (broken bool, err error) {
	const (
		slowFactor = 11
		work       = 300
		batches    = 15
		followers  = 5
		shortS     = 1.5
	)
	var archives []*upstream
	for i := range 3 {
		u, err := w.addUpstream(fmt.Sprintf("i-7f3a91c%d", i), archive, zoneOf(i%len(places)), 5)
		if err != nil {
			return false, err
		}
		archives = append(archives, u)
	}
	sound, err := w.addUpstream("i-02d9e6b4", catalogue, zoneOf(0), 16)
	if err != nil {
		return false, err
	}
	w.putConfig([]string{catalogue, archive}, []route{
		{"/stock/", catalogue, kindIdempotent, false, shortS},
		{"/loan/", archive, kindNonIdempotent, false, 0},
	})
	if err := w.startInstances(); err != nil {
		return false, err
	}
	if w.trouble {
		archives[0].setSlow(slowFactor)
		w.rec.add("upstream %s works %d times as long", archives[0].id, slowFactor)
	}
	lost := 0
	for range batches {
		n, err := w.sendBatch(sound, fmt.Sprintf("/loan/2f?work=%d", work), followers)
		if err != nil {
			return false, err
		}
		if lost += n; lost > 3 {
			break
		}
	}
	w.rec.add("%d requests of kept connections were passed on to a sound upstream and have no answer", lost)
	return lost > 3, nil
}

// sendBatch sends one request, and then a request for first with further ones behind it, and
// returns how many of these ran at sound and have no answer.
func (w *world) sendBatch(sound *upstream, first string, followers int) (lost int, err error) {
	c, err := w.connect(w.instances[0])
	if err != nil {
		return 0, err
	}
	defer c.close()
	if err := serveAll(c, 1, http.MethodGet, "/stock/2f", ""); err != nil {
		return 0, err
	}
	ids := []string{newID()}
	requests := []string{request(http.MethodPost, first, ids[0], "")}
	for range followers {
		id := newID()
		ids, requests = append(ids, id), append(requests, request(http.MethodGet, "/stock/2f", id, ""))
	}
	w.rec.add("client: sends %v at once", ids)
	if err := c.send(requests...); err != nil {
		return 0, err
	}
	for i, id := range ids {
		if a := c.read(id); a.err != nil && i > 0 && sound.runsOf(id) > 0 {
			lost++
		}
	}
	return lost, nil
}
