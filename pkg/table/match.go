package table

import "strings"

// Matcher finds the route of a request. It is immutable and safe for concurrent use.
type Matcher struct {
	// byHost maps the lower-case host and then the path prefix, without trailing
	// slashes, to the route.
	byHost map[string]map[string]*Route
}

// anyHost is the key of the routes that match any host.
const anyHost = ""

// NewMatcher returns a Matcher for the routes of t. If two routes have the same host
// and path prefix, it uses the first.
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

// trimTrailingSlashes returns prefix without trailing slashes.
func trimTrailingSlashes(prefix string) string { return strings.TrimRight(prefix, "/") }

// Match returns the route for host, with or without a port, and path, or nil if no
// route matches. Routes for that host have precedence over those for any host. Among
// them, the longest path prefix that ends at a segment boundary wins.
func (m *Matcher) Match(host, path string) *Route {
	if r := longestPrefix(m.byHost[hostName(host)], path); r != nil {
		return r
	}
	return longestPrefix(m.byHost[anyHost], path)
}

// longestPrefix returns the route with the longest prefix of path, or nil. It removes
// one path segment after another until a prefix is found.
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
