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

// BlockSource is a Cluster that knows the callers' blocks.
type BlockSource interface {
	// Blocks returns the callers' blocks in use, or nil. It is cheap and never
	// blocks.
	Blocks() *block.Table
}

// callerLocation returns where the caller of a look-up is taken to be: at the site of
// its block, else where this instance is. Error: fault.KindBadRequest when the
// named address can't be read.
func (n *Node) callerLocation(v *snapshot, r *http.Request) (lookup.Place, error) {
	here := lookup.Place{Zone: n.self.Zone, Region: n.self.Region}
	addr, err := clientAddress(r)
	if err != nil {
		return here, err
	}
	holder, ok := n.cluster.(BlockSource)
	if !ok {
		return here, nil
	}
	blocks := holder.Blocks()
	if blocks == nil {
		return here, nil
	}
	site, ok := blocks.Lookup(addr)
	if !ok {
		return here, nil
	}
	if at, ok := v.sites[blocks.Site(site)]; ok {
		return at, nil
	}
	return here, nil
}

// clientAddress returns the address that the look-up is for: the one that it
// names, else the caller's.
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
		return addr, fault.New(fault.KindBadRequest, "client %q is no address; an IPv4 or IPv6 address is accepted", text)
	}
	return addr.WithZone(""), nil
}

// siteLocations returns the places that blocks may name: the regions, and the zones
// of targets and instances. A zone's name wins over a region's.
func siteLocations(t *table.Tables, instances []lookup.Instance) map[string]lookup.Place {
	sites := map[string]lookup.Place{}
	for _, r := range t.Regions {
		sites[r.Name] = lookup.Place{Region: r.Name}
	}
	for _, in := range instances {
		sites[in.Region] = lookup.Place{Region: in.Region}
	}
	for _, p := range t.Pools {
		for _, tg := range p.Targets {
			sites[tg.Zone] = lookup.Place{Zone: tg.Zone, Region: p.Region}
		}
	}
	for _, in := range instances {
		sites[in.Zone] = lookup.Place{Zone: in.Zone, Region: in.Region}
	}
	return sites
}
