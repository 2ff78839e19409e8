package target

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// zP99 is the 99th percentile of the standard normal distribution.
const zP99 = 2.3263478740408408

// serviceTimes samples service times from a log-normal distribution. They decrease
// while a cold target warms up.
type serviceTimes struct {
	median       float64
	sigma        float64
	coldFactor   float64
	warmRequests int

	mu     sync.Mutex
	rand   *rand.Rand
	served int
}

func newServiceTimes(c Config) *serviceTimes {
	s := &serviceTimes{
		median:       float64(c.ServiceTime),
		coldFactor:   c.ColdFactor,
		warmRequests: c.WarmRequests,
		rand:         rand.New(rand.NewPCG(c.Seed, c.Seed)),
	}
	if c.ServiceTimeP99 > c.ServiceTime && c.ServiceTime > 0 {
		s.sigma = math.Log(float64(c.ServiceTimeP99)/float64(c.ServiceTime)) / zP99
	}
	return s
}

// sample returns the service time of the next request.
func (s *serviceTimes) sample() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	coldFraction := max(0, 1-float64(s.served)/float64(s.warmRequests))
	s.served++
	factor := 1 + (s.coldFactor-1)*coldFraction
	return time.Duration(s.median * factor * math.Exp(s.sigma*s.rand.NormFloat64()))
}
