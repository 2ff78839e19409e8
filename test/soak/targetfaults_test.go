package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	sharedstandin "github.com/jacinthramp/jacinthramp/pkg/standin"
	"github.com/jacinthramp/jacinthramp/platform/standin"
)

// slowByteInterval is the pause between the bytes of a slow endless response.
const slowByteInterval = 100 * time.Millisecond

var endlessParts = []sharedstandin.EndlessPart{sharedstandin.EndlessHead, sharedstandin.EndlessExcess, sharedstandin.EndlessBody}

// injectTargetFaults makes a random server start to leave, and with probability 1/2
// chooses a second one later, which may be the same. Meanwhile one server at a time
// refuses requests with Retry-After, and one at a time sends endless responses.
func injectTargetFaults(dep *deployment, rnd *rand.Rand) {
	backoffs := rand.New(rand.NewPCG(rnd.Uint64(), 1))
	endless := rand.New(rand.NewPCG(rnd.Uint64(), 2))
	var faults sync.WaitGroup
	faults.Go(func() { injectOnServers(dep, backoffs, injectBackoff) })
	faults.Go(func() { injectOnServers(dep, endless, injectEndless) })
	dep.startLeaving(rnd.IntN(len(dep.backends)))
	if rnd.IntN(2) == 0 {
		time.Sleep(time.Duration(rnd.Int64N(int64(*faultDuration))))
		dep.startLeaving(rnd.IntN(len(dep.backends)))
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

// injectEndless makes the server send endless responses, slowly with probability 1/2.
func injectEndless(server *standin.Server, rnd *rand.Rand, length time.Duration) {
	e := sharedstandin.Endless{Part: endlessParts[rnd.IntN(len(endlessParts))]}
	if rnd.IntN(2) == 0 {
		e.ByteInterval = slowByteInterval
	}
	server.SetEndless(e)
	time.Sleep(length)
	server.SetEndless(sharedstandin.Endless{})
}

// startLeaving makes a server start to leave. It leaves until the end of the run.
func (dep *deployment) startLeaving(b int) {
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

// receivesNothing reports whether the server is leaving or has been drained.
func (dep *deployment) receivesNothing(server *standin.Server) bool {
	for i, b := range dep.backends {
		if b.server == server {
			return dep.leaving[i] || b.draining
		}
	}
	return true
}

// openEndlessResponses returns the number of endless responses that are being sent.
func (dep *deployment) openEndlessResponses() int {
	n := 0
	for _, b := range dep.backends {
		n += b.server.OpenEndlessResponses()
	}
	return n
}
