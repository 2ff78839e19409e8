package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	base "github.com/jacinthramp/jacinthramp/pkg/standin"
	"github.com/jacinthramp/jacinthramp/platform/standin"
)

// slowDrip is the pause between the bytes of a slow endless response.
const slowDrip = 100 * time.Millisecond

var endlessParts = []base.EndlessPart{base.EndlessHead, base.EndlessExcess, base.EndlessBody}

// injectTargetFaults lets one server begin to leave, and another one half of the time.
// Meanwhile one server at a time refuses requests with Retry-After, and one responds
// without end.
func injectTargetFaults(dep *deployment, rnd *rand.Rand) {
	backoffs := rand.New(rand.NewPCG(rnd.Uint64(), 1))
	endless := rand.New(rand.NewPCG(rnd.Uint64(), 2))
	var faults sync.WaitGroup
	faults.Go(func() { injectOnServers(dep, backoffs, injectBackoff) })
	faults.Go(func() { injectOnServers(dep, endless, injectEndless) })
	dep.leave(rnd.IntN(len(dep.backends)))
	if rnd.IntN(2) == 0 {
		time.Sleep(time.Duration(rnd.Int64N(int64(*faultDuration))))
		dep.leave(rnd.IntN(len(dep.backends)))
	}
	faults.Wait()
}

// injectOnServers injects a fault into one server after the other until
// faultDuration has passed. Each lasts 0.2 to 1.7 s.
func injectOnServers(dep *deployment, rnd *rand.Rand, inject func(*standin.Server, *rand.Rand, time.Duration)) {
	for end := time.Now().Add(*faultDuration); time.Now().Before(end); {
		server := dep.backends[rnd.IntN(len(dep.backends))].server
		inject(server, rnd, time.Duration(200+rnd.IntN(1500))*time.Millisecond)
		time.Sleep(time.Duration(rnd.IntN(500)) * time.Millisecond)
	}
}

// injectBackoff makes the server refuse requests with a Retry-After of 1 to 3 s.
func injectBackoff(server *standin.Server, rnd *rand.Rand, length time.Duration) {
	server.SetRetryAfter(fmt.Sprintf("%.1f", 1+2*rnd.Float64()))
	time.Sleep(length)
	server.SetRetryAfter("")
}

// injectEndless makes the server respond without end, slowly half of the time.
func injectEndless(server *standin.Server, rnd *rand.Rand, length time.Duration) {
	e := base.Endless{Part: endlessParts[rnd.IntN(len(endlessParts))]}
	if rnd.IntN(2) == 0 {
		e.Drip = slowDrip
	}
	server.SetEndless(e)
	time.Sleep(length)
	server.SetEndless(base.Endless{})
}

// leave makes a server begin to leave, for good.
func (dep *deployment) leave(b int) {
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
