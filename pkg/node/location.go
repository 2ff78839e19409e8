package node

import (
	"net"
	"net/http"
	"net/netip"

	"github.com/jacinthramp/jacinthramp/pkg/decision/block"
	"github.com/jacinthramp/jacinthramp/pkg/decision/lookup"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// BlockSource is a Cluster that provides the blocks of callers' addresses.
type BlockSource interface {
	// Blocks returns the table of blocks in use, or nil without one. It is cheap
	// and never blocks.
	Blocks() *block.Table
}

// callerLocation returns the assumed location of the caller of a lookup: that of
// the site of its address block, otherwise that of this instance. The error is of
// kind fault.KindBadRequest if the query's client address is malformed.
func (n *Node) callerLocation(snap *snapshot, r *http.Request) (lookup.Location, error) {
	own := lookup.Location{Zone: n.self.Zone, Region: n.self.Region}
	addr, err := clientAddress(r)
	if err != nil {
		return own, err
	}
	source, ok := n.cluster.(BlockSource)
	if !ok {
		return own, nil
	}
	blocks := source.Blocks()
	if blocks == nil {
		return own, nil
	}
	site, ok := blocks.Lookup(addr)
	if !ok {
		return own, nil
	}
	if location, ok := snap.sites[blocks.SiteName(site)]; ok {
		return location, nil
	}
	return own, nil
}

// clientAddress returns the address that a lookup is for: the one in its query,
// otherwise the remote address of the request. It returns the zero Addr if the
// remote address has no host and port.
func clientAddress(r *http.Request) (netip.Addr, error) {
	text := r.URL.Query().Get(wire.QueryClient)
	if text == "" {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil {
			return netip.Addr{}, nil
		}
		text = host
	}
	addr, err := netip.ParseAddr(text)
	if err != nil {
		return addr, fault.New(fault.KindBadRequest, "client %q is not an IPv4 or IPv6 address", text)
	}
	return addr.WithZone(""), nil
}

// siteLocations returns the locations of the sites that blocks may name: the
// regions, and the zones of targets and instances. If a zone and a region have the
// same name, it denotes the zone.
func siteLocations(t *table.Tables, instances []lookup.Instance) map[string]lookup.Location {
	sites := map[string]lookup.Location{}
	for _, r := range t.Regions {
		sites[r.Name] = lookup.Location{Region: r.Name}
	}
	for _, in := range instances {
		sites[in.Region] = lookup.Location{Region: in.Region}
	}
	for _, p := range t.Pools {
		for _, tg := range p.Targets {
			sites[tg.Zone] = lookup.Location{Zone: tg.Zone, Region: p.Region}
		}
	}
	for _, in := range instances {
		sites[in.Zone] = lookup.Location{Zone: in.Zone, Region: in.Region}
	}
	return sites
}
