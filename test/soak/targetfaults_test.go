package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	base "github.com/jacinthramp/jacinthramp/pkg/standin"
)

const (
	// maxLeaving is how many servers leave in a run. They leave for good.
	maxLeaving = 2
	// slowDrip is the pause between the bytes of a slow endless response.
	slowDrip = 100 * time.Millisecond
)

var endlessParts = []base.EndlessPart{base.EndlessHead, base.EndlessExcess, base.EndlessBody}

// injectTargetFaults lets one server begin to leave, and then makes one server at a
// time leave, refuse requests with Retry-After, or respond without end.
func injectTargetFaults(dep *deployment, rnd *rand.Rand) {
	dep.leave(rnd.IntN(len(dep.backends)))
	for end := time.Now().Add(*faultDuration); time.Now().Before(end); {
		kind, b := rnd.IntN(7), rnd.IntN(len(dep.backends))
		length := time.Duration(200+rnd.IntN(1500)) * time.Millisecond
		retryAfter := fmt.Sprintf("%.1f", 1+2*rnd.Float64())
		e := base.Endless{Part: endlessParts[rnd.IntN(len(endlessParts))]}
		if rnd.IntN(2) == 0 {
			e.Drip = slowDrip
		}
		server := dep.backends[b].server
		switch {
		case kind == 0:
			dep.leave(b)
		case kind < 4:
			server.SetRetryAfter(retryAfter)
			time.Sleep(length)
			server.SetRetryAfter("")
		default:
			server.SetEndless(e)
			time.Sleep(length)
			server.SetEndless(base.Endless{})
		}
		time.Sleep(time.Duration(rnd.IntN(500)) * time.Millisecond)
	}
}

// leave makes a server begin to leave, unless maxLeaving servers have.
func (dep *deployment) leave(b int) {
	if len(dep.leaving) == maxLeaving {
		return
	}
	dep.leaving[b] = true
	dep.backends[b].server.StartLeaving()
}

// stayingBackend returns the first server from index i on that isn't leaving.
func (dep *deployment) stayingBackend(i int) *backend {
	for dep.leaving[i%len(dep.backends)] {
		i++
	}
	return dep.backends[i%len(dep.backends)]
}

// endlessOpen returns the number of endless responses that are being sent.
func (dep *deployment) endlessOpen() int {
	n := 0
	for _, b := range dep.backends {
		n += b.server.EndlessOpen()
	}
	return n
}
