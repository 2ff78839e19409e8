package table

import (
	"net/netip"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

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

// maxShownBytes bounds an address in an error.
const maxShownBytes = 64

// broadcastAddress is the address of all hosts of a network.
var broadcastAddress = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// ParseAddress returns the address of one host, with a port, from its text. Otherwise the
// error is of kind fault.KindInvalidTable. The scope of an address names an interface of the
// host that has written it, and says nothing elsewhere.
func ParseAddress(text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return a, fault.New(fault.KindInvalidTable, "%.*q is not an IP address and a port", maxShownBytes, text)
	}
	ip := a.Addr()
	switch {
	case a.Port() == 0:
		err = fault.New(fault.KindInvalidTable, "the address %.*q has the port 0", maxShownBytes, text)
	case ip.Zone() != "":
		err = fault.New(fault.KindInvalidTable, "the address %.*q has a scope", maxShownBytes, text)
	case ip.Unmap().IsUnspecified() || ip.Unmap().IsMulticast() || ip.Unmap() == broadcastAddress:
		err = fault.New(fault.KindInvalidTable, "the address %v is not that of one host", a)
	}
	return a, err
}
