package node

import (
	"testing"
)

// TestRouteIsMatchedByThePathAsSent guards against requests that go by a route whose prefix
// begins the path only once that is unescaped, or given a slash that the caller did not
// send.
func TestRouteIsMatchedByThePathAsSent(t *testing.T) {
	tables := oneTarget(startTarget(t, echo), "osrednja-a")
	tables.Routes[0].PathPrefix = "/feedlog/tiles/"
	inst := startInstance(t, "a-1", "osrednja-a")
	inst.run(t, tables)
	for target, status := range map[string]int{
		"/feedlog/tiles":           404,
		"/feedlog/tiles?a=/":       404,
		"/feedlog/tiles%2F1":       404,
		"/feedlog%2Ftiles/1":       404,
		"/feedlog/til%65s/1":       404,
		"//x/feedlog/tiles/1":      404,
		"/feedlog/tiles/":          200,
		"/feedlog/tiles/%2F":       200,
		"/feedlog/tiles/../1":      200,
		"http://x/feedlog/tiles/1": 200,
		"http://x/feedlog/tiles":   404,
	} {
		resp := sendRaw(t, inst, "GET "+target+" HTTP/1.1\r\nHost: x\r\n\r\n", false)
		if resp.StatusCode != status {
			t.Errorf("%s: status %d, want %d", target, resp.StatusCode, status)
		}
	}
}
