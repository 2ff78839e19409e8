package table

import "strings"

// Matcher finds the route of a request. It is immutable and safe for use
// from several goroutines.
type Matcher struct {
	byHost map[string]map[string]*Route
}

// anyHost is the key of the routes without a host.
const anyHost = ""

// NewMatcher indexes the routes of t. The first of two equal rows wins.
func NewMatcher(t *Tables) *Matcher {
	m := &Matcher{byHost: make(map[string]map[string]*Route)}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		prefixes := m.byHost[host]
		if prefixes == nil {
			prefixes = make(map[string]*Route)
			m.byHost[host] = prefixes
		}
		prefix := trimTrailingSlashes(r.PathPrefix)
		if _, ok := prefixes[prefix]; !ok {
			prefixes[prefix] = r
		}
	}
	return m
}

// trimTrailingSlashes brings a path prefix into the form without a final slash.
func trimTrailingSlashes(prefix string) string { return strings.TrimRight(prefix, "/") }

// Match returns the route for the host, with or without a port, and the path,
// or nil. A route with the host goes before one for any host; then the
// longest prefix that ends at a segment boundary wins.
func (m *Matcher) Match(host, path string) *Route {
	if r := longestPrefix(m.byHost[hostName(host)], path); r != nil {
		return r
	}
	return longestPrefix(m.byHost[anyHost], path)
}

// longestPrefix walks from the whole path up to the root.
func longestPrefix(prefixes map[string]*Route, path string) *Route {
	if len(prefixes) == 0 {
		return nil
	}
	for p := path; ; {
		if r, ok := prefixes[p]; ok {
			return r
		}
		cut := strings.LastIndexByte(p, '/')
		if cut < 0 {
			return nil
		}
		p = p[:cut]
	}
}

// hostName returns host in lower case without its port.
func hostName(host string) string {
	end := strings.LastIndexByte(host, ':')
	if end >= 0 && strings.IndexByte(host[end:], ']') < 0 {
		host = host[:end]
	}
	return strings.ToLower(host)
}
