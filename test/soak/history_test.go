package soak

import (
	"strings"
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/platform/standin"
)

// request is what the callers know of a request.
type request struct {
	sent time.Time
	// passedOn is when the head of a successful response arrived, server the one
	// that sent it. passedOn is zero without such a response.
	passedOn time.Time
	server   string
}

// requestID returns the id of a request that is sent to the given instance.
func requestID(name, instance string) string { return name + "." + instance }

// instanceOf returns the instance to which the request id was sent, or "".
func instanceOf(id string) string {
	_, instance, _ := strings.Cut(id, ".")
	return instance
}

// cause is a kind of disturbance that excuses requests to a server.
type cause int

const (
	// restart and freeze are of an instance, cut is of the connections to a server.
	restart cause = iota
	freeze
	cut
)

// disturbance is a fault of an instance, or of the connections to a server.
type disturbance struct {
	name     string
	cause    cause
	from, to time.Time
}

// disturbances records the faults during a run.
type disturbances struct {
	mu   sync.Mutex
	list []disturbance
}

// during records a fault that lasts while do runs.
func (r *disturbances) during(name string, c cause, do func()) {
	from := time.Now()
	do()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, disturbance{name, c, from, time.Now()})
}

// link is an instance and a server that it sends requests to.
type link struct{ instance, server string }

// attempt is a request that reached a server.
type attempt struct {
	standin.Exchange
	sent time.Time
	// passedOn is when the instance had passed on the server's response. It is
	// zero if that is not known.
	passedOn time.Time
}

// history is what servers and callers saw during a run.
type history struct {
	attempts     map[link][]attempt
	disturbances []disturbance
}

// newHistory joins what the servers saw with what the callers know. It leaves out
// requests that were not sent to a known instance.
func newHistory(exchanges []standin.Exchange, requests map[string]request, faults []disturbance) history {
	h := history{attempts: map[link][]attempt{}, disturbances: faults}
	for _, x := range exchanges {
		instance := instanceOf(x.ID)
		if instance == "" {
			continue
		}
		q := requests[x.ID]
		a := attempt{Exchange: x, sent: q.sent}
		if q.server == x.Server {
			a.passedOn = q.passedOn
		}
		l := link{instance, x.Server}
		h.attempts[l] = append(h.attempts[l], a)
	}
	return h
}

// disturbed reports whether a fault of the given cause was in effect between from
// and to.
func (h history) disturbed(name string, c cause, from, to time.Time) bool {
	for _, d := range h.disturbances {
		if d.name == name && d.cause == c && !d.from.After(to) && !d.to.Before(from) {
			return true
		}
	}
	return false
}

// mayHaveForgotten reports whether the instance was restarted or frozen between
// from and to.
func (h history) mayHaveForgotten(instance string, from, to time.Time) bool {
	return h.disturbed(instance, restart, from, to) || h.disturbed(instance, freeze, from, to)
}
