package table

import "strings"

// Matcher finds the route of a request. It is immutable and safe for concurrent use.
type Matcher struct {
	// byHost maps the lower-case host to the routes for it.
	byHost map[string]prefixes
}

// prefixes maps path prefixes, each without a final slash, to their routes.
type prefixes map[string]prefixRoutes

// prefixRoutes are the routes of one path prefix with and without a final slash. Either
// may be nil.
type prefixRoutes struct {
	withSlash    *Route
	withoutSlash *Route
}

// anyHost is the key of the routes that match any host.
const anyHost = ""

// NewMatcher returns a Matcher for the routes of t. If two routes have the same host
// and path prefix, it uses the first.
func NewMatcher(t *Tables) *Matcher {
	m := &Matcher{byHost: make(map[string]prefixes)}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		if m.byHost[host] == nil {
			m.byHost[host] = make(prefixes)
		}
		m.byHost[host].add(r)
	}
	return m
}

// add adds r unless there is a route with the same prefix.
func (p prefixes) add(r *Route) {
	prefix, slash := strings.CutSuffix(r.PathPrefix, "/")
	routes := p[prefix]
	switch {
	case slash && routes.withSlash == nil:
		routes.withSlash = r
	case !slash && routes.withoutSlash == nil:
		routes.withoutSlash = r
	}
	p[prefix] = routes
}

// Match returns the route for host, with or without a port, and path, or nil if no
// route matches. Routes for that host have precedence over those for any host. Among
// them, the longest path prefix that begins path and ends at a segment boundary wins.
// path is the path as the caller sent it: prefixes are compared byte by byte. An empty
// path stands for "/".
func (m *Matcher) Match(host, path string) *Route {
	if path == "" {
		path = "/"
	}
	if r := m.byHost[HostName(host)].longest(path); r != nil {
		return r
	}
	return m.byHost[anyHost].longest(path)
}

// longest returns the route with the longest prefix that begins path, or nil. A prefix
// that ends with a slash does not begin a path that lacks this slash. It removes one path
// segment after another until a prefix is found.
func (p prefixes) longest(path string) *Route {
	if len(p) == 0 {
		return nil
	}
	if r := p[path].withoutSlash; r != nil {
		return r
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		routes := p[path[:end]]
		switch {
		case routes.withSlash != nil:
			return routes.withSlash
		case routes.withoutSlash != nil:
			return routes.withoutSlash
		}
	}
	return nil
}

// HostName returns host in lower case without its port.
func HostName(host string) string {
	end := strings.LastIndexByte(host, ':')
	if end >= 0 && strings.IndexByte(host[end:], ']') < 0 {
		host = host[:end]
	}
	return strings.ToLower(host)
}
