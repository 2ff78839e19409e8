package table

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestMatchPrefersHostThenLongestPrefixAtSegments(t *testing.T) {
	m := NewMatcher(&Tables{Routes: []Route{
		{Name: "any", PathPrefix: "/"},
		{Name: "deep", PathPrefix: "/a/b/"},
		{Name: "host", Host: "Feedlog.example", PathPrefix: "/a"},
		{Name: "v6", Host: "[::1]", PathPrefix: "/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"x", "/", "any"},
		{"x", "", "any"},
		{"x", "/a/b", "any"},
		{"x", "/a/b/", "deep"},
		{"x", "/a/b/c", "deep"},
		{"x", "/a/bc", "any"},
		{"feedlog.example:8080", "/a/b/c", "host"},
		{"FEEDLOG.EXAMPLE", "/a", "host"},
		{"feedlog.example", "/ab", "any"},
		{"[::1]:80", "/q", "v6"},
		{"[::1]", "/q", "v6"},
	} {
		if r := m.Match(c.host, c.path); r == nil || r.Name != c.want {
			t.Errorf("Match(%q, %q) = %+v, want %s", c.host, c.path, r, c.want)
		}
	}
	if r := NewMatcher(&Tables{}).Match("x", "/"); r != nil {
		t.Errorf("no routes: got %+v", r)
	}
}

// TestPrefixDoesNotMatchPathWithoutItsLastSlash guards against requests for /stock/tiles
// that go to the service of a longer route /stock/tiles/, or to any where no route begins
// the path.
func TestPrefixDoesNotMatchPathWithoutItsLastSlash(t *testing.T) {
	long := Route{Name: "long", PathPrefix: "/stock/tiles/"}
	m := NewMatcher(&Tables{Routes: []Route{{Name: "short", PathPrefix: "/stock/"}, long}})
	for path, want := range map[string]string{
		"/stock/tiles": "short", "/stock/tiles/": "long", "/stock/tiles/1": "long", "/stock/tiles//": "long", "/stock//tiles/": "short",
	} {
		if r := m.Match("x", path); r == nil || r.Name != want {
			t.Errorf("Match(%q) = %+v, want %s", path, r, want)
		}
	}
	for _, path := range []string{"/stock/tiles", "/stock", "/", "*"} {
		if r := NewMatcher(&Tables{Routes: []Route{long}}).Match("x", path); r != nil {
			t.Errorf("Match(%q) = %+v, want none", path, r)
		}
	}
}

// begins reports whether prefix begins path at a segment boundary.
func begins(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (strings.HasSuffix(prefix, "/") || rest == "" || rest[0] == '/')
}

// TestMatchEqualsScanOfAllPrefixes compares Match with a scan of all routes for the longest
// prefix that begins the path, with escapes, empty segments and dots.
func TestMatchEqualsScanOfAllPrefixes(t *testing.T) {
	segments := rapid.SampledFrom([]string{"", "a", "b", "ab", "%2F", "a%2Fb", ".", ".."})
	paths := rapid.Custom(func(t *rapid.T) string {
		return "/" + strings.Join(rapid.SliceOfN(segments, 0, 5).Draw(t, "segments"), "/")
	})
	rapid.Check(t, func(t *rapid.T) {
		var tables Tables
		for i, p := range rapid.SliceOfNDistinct(paths, 0, 8, rapid.ID).Draw(t, "prefixes") {
			tables.Routes = append(tables.Routes, Route{Name: fmt.Sprint(i), PathPrefix: p})
		}
		path := paths.Draw(t, "path")
		var want *Route
		for i := range tables.Routes {
			r := &tables.Routes[i]
			if begins(r.PathPrefix, path) && (want == nil || len(r.PathPrefix) > len(want.PathPrefix)) {
				want = r
			}
		}
		if got := NewMatcher(&tables).Match("x", path); got != want {
			t.Errorf("Match(%q) = %+v, want %+v", path, got, want)
		}
	})
}

// BenchmarkMatch matches paths of five segments with 1,400 routes.
func BenchmarkMatch(b *testing.B) {
	var tables Tables
	for i := range 1400 {
		tables.Routes = append(tables.Routes, Route{Name: fmt.Sprint(i), Host: "a.example", PathPrefix: fmt.Sprintf("/r%d/", i)})
	}
	m := NewMatcher(&tables)
	b.ReportAllocs()
	for b.Loop() {
		if m.Match("a.example:80", "/r700/1/2/3/4") == nil {
			b.Fatal("no route")
		}
	}
}
