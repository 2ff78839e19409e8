package node

import (
	"time"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/peer/memory"
)

const (
	// bufferedBodyMemory bounds, in bytes, the parts of response bodies that are in memory
	// for all requests together, except those in Holding: those read before their header is
	// relayed, and one of each response that is being copied. It applies to instances of
	// fullMemoryMB or more, and in proportion to smaller ones.
	bufferedBodyMemory = 24 << 20
	fullMemoryMB       = 184
	// heldDivisor is the fraction of an instance's memory, one part in heldDivisor, for
	// further parts of responses that their callers have not read yet; maxHeldMemory
	// bounds it, in bytes.
	heldDivisor   = 16
	maxHeldMemory = 32 << 20
	// requestHeaderMemory bounds, in bytes, the memory that the headers of all requests of
	// callers take together beyond the usual size of each.
	requestHeaderMemory = 16 << 20
	// memoryReportInterval is the shortest time between two reports on one budget.
	memoryReportInterval = time.Second
)

// The uses of bounded memory, as they appear in metrics and logs.
const (
	useBodies          = "bodies"
	useRequestHeaders  = "request-headers"
	useResponseHeaders = "response-headers"
)

// memoryReport reports the refused reservations of one budget.
type memoryReport struct {
	use    string
	budget *memory.Budget
	// reported is how many refusals have been reported, lastReport when the last were.
	reported   int64
	lastReport time.Time
}

// memoryReports returns a report on each budget of n.
func (n *Node) memoryReports() []memoryReport {
	return []memoryReport{
		{use: useBodies, budget: n.bodies},
		{use: useRequestHeaders, budget: n.requestHeaders},
		{use: useResponseHeaders, budget: n.dialer.HeaderMemory()},
	}
}

// reportMemory counts and logs the reservations that have been refused since the last
// report.
func (n *Node) reportMemory(now time.Time, r *memoryReport) {
	refused := r.budget.Refused() - r.reported
	if refused == 0 || now.Sub(r.lastReport) < memoryReportInterval {
		return
	}
	r.reported += refused
	r.lastReport = now
	if n.metrics != nil {
		n.metrics.CountMemoryRefusals(r.use, refused)
	}
	n.log.Warn("memory for received bytes used up", zap.String("use", r.use), zap.Int64("refused", refused))
}

// bodyMemory returns the bytes for buffered bodies of an instance with the given memory in
// MB, zero for one without a limit.
func bodyMemory(memoryMB int) int64 {
	if memoryMB == 0 || memoryMB >= fullMemoryMB {
		return bufferedBodyMemory
	}
	return bufferedBodyMemory / fullMemoryMB * int64(memoryMB)
}

// heldMemory returns the bytes for parts of responses that their callers have not read yet.
func heldMemory(memoryMB int) int64 {
	if memoryMB == 0 {
		return maxHeldMemory
	}
	return min(maxHeldMemory, int64(memoryMB)<<20/heldDivisor)
}
