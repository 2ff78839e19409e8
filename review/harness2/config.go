package main

import "fmt"

// route is a route of a config.
type route struct {
	name, prefix, kind, service string
	timeoutS                    float64
}

// hostName is the host of all routes.
const hostName = "review.example"

// configText returns a config with the given version, services and routes.
func configText(version uint64, services []string, routes []route) map[string]any {
	var ss, rs []map[string]any
	for _, s := range services {
		ss = append(ss, map[string]any{"Name": s, "HealthPath": "/health", "MaxConnections": 390, "Protocol": "h1", "Tls": false, "ColdStartS": 3.0, "ColdPerS": 7.2})
	}
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"Name": r.name, "Prefix": r.prefix, "Kind": r.kind, "TimeoutS": r.timeoutS, "TargetLatencyS": 0.4, "Priority": 1,
			"Service": r.service, "MaxAttempts": 2, "SessionAffinity": false, "AllowedRegions": []string{},
		})
	}
	return map[string]any{
		"Version": fmt.Sprintf("%08x", version), "Services": ss,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"Hosts":  []map[string]any{{"Host": hostName, "Paths": rs}},
	}
}

// putServer writes the entry of a server, or removes it for nil, unless the store is away.
func (w *world) putServer(id string, entry map[string]any) {
	w.storeMu.RLock()
	defer w.storeMu.RUnlock()
	switch {
	case w.storeAway:
	case entry == nil:
		w.store.Put("servers", id, nil)
	default:
		w.store.Put("servers", id, entry)
	}
}

// putConfig writes a config, as the operator does.
func (w *world) putConfig(version uint64, what string, config map[string]any) {
	w.store.Put("op", "config", config)
	w.logf("operator: config %08x acknowledged (%s)", version, what)
}

// setStoreAway makes the store refuse all calls, of the servers too, or accept them again.
func (w *world) setStoreAway(away bool) {
	w.storeMu.Lock()
	defer w.storeMu.Unlock()
	w.storeAway = away
	w.store.SetDown(away)
}
