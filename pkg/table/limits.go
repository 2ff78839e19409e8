package table

import "time"

// The largest values of fields. They prevent the overflow of sums over rows.
const (
	// MaxWeight is the maximum weight of a pool.
	MaxWeight = 1_000_000
	// MaxSlots is the maximum number of slots of a target. Each request in flight has a
	// connection of its own, and an address has this many ports.
	MaxSlots = 1<<16 - 1
	// MaxConnections is the maximum number of open connections to a target.
	MaxConnections = 1_000_000
	// MaxRate is the maximum rate in requests per second.
	MaxRate = 1e9
	// MaxTimeout is the maximum time that a request may take.
	MaxTimeout = Duration(24 * time.Hour)
)
