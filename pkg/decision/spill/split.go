package spill

// RegionalShare is a pool's share of a route's traffic.
type RegionalShare struct {
	// Region is the region of the pool.
	Region string
	// Share is the planned share of the route's traffic in all regions.
	// SplitForRegion replaces it by the share of the traffic that arrives in one
	// region.
	Share float64
}

// SplitForRegion replaces the planned shares of a route's pools, in place, by their
// shares of the traffic that arrives in region. It keeps as much traffic in its
// region as the plan allows. It assumes that each region with a pool receives the
// same amount of traffic; then all regions together match the plan exactly. The
// shares stay unchanged for a region without a pool.
func SplitForRegion(shares []RegionalShare, region string) {
	shareByRegion := make(map[string]float64)
	total := 0.0
	for _, s := range shares {
		shareByRegion[s.Region] += s.Share
		total += s.Share
	}
	local := shareByRegion[region]
	if local <= 0 || len(shareByRegion) < 2 {
		return
	}
	demand := total / float64(len(shareByRegion))
	totalSpare := 0.0
	for _, share := range shareByRegion {
		totalSpare += max(0, share-demand)
	}
	localTraffic := min(local, demand)
	for i, s := range shares {
		regionShare := shareByRegion[s.Region]
		traffic := 0.0
		switch {
		case regionShare <= 0:
		case s.Region == region:
			traffic = localTraffic * s.Share / regionShare
		case totalSpare > 0:
			traffic = (demand - localTraffic) * max(0, regionShare-demand) / totalSpare * s.Share / regionShare
		}
		shares[i].Share = traffic / demand * total
	}
}
