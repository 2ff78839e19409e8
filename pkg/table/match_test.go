package table

import "testing"

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
		{"x", "/a/b", "deep"},
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
