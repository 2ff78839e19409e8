package spill

// RegionalShare is a pool's planned share of a route and the region it is in. Share
// becomes the share of the traffic that arrives in one region.
type RegionalShare struct {
	Region string
	Share  float64
}

// SplitForRegion turns the planned shares of a route's pools into those of the traffic
// that arrives in region, in place. Each region is taken to receive the same
// traffic; then all regions together follow the plan exactly, and as much as
// the plan allows stays in its region. A region without a pool splits by the
// plan.
func SplitForRegion(parts []RegionalShare, region string) {
	byRegion := make(map[string]float64)
	total := 0.0
	for _, p := range parts {
		byRegion[p.Region] += p.Share
		total += p.Share
	}
	local := byRegion[region]
	if local <= 0 || len(byRegion) < 2 {
		return
	}
	demand := total / float64(len(byRegion))
	spare := 0.0
	for _, share := range byRegion {
		spare += max(0, share-demand)
	}
	kept := min(local, demand)
	for i, p := range parts {
		whole := byRegion[p.Region]
		flow := 0.0
		switch {
		case whole <= 0:
		case p.Region == region:
			flow = kept * p.Share / whole
		case spare > 0:
			flow = (demand - kept) * max(0, whole-demand) / spare * p.Share / whole
		}
		parts[i].Share = flow / demand * total
	}
}
