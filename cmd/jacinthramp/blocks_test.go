package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
	standin "github.com/jacinthramp/jacinthramp/pkg/standin/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// writeFile writes a file to the directory of the test bed and returns its path.
func (b *testbed) writeFile(name, text string) string {
	path := filepath.Join(b.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return path
}

func TestInvalidBlocksAreRejectedWithRowAndReasonAndChangeNothing(t *testing.T) {
	b := newTestbed(t)
	b.installExamples()
	for _, c := range []struct{ row, reason string }{
		{"10.1.0/16 osrednja", "malformed prefix"},
		{"10.1.0.1/16 osrednja", "10.1.0.0/16 is accepted"},
		{"::ffff:10.1.0.0/112 osrednja", "write it as IPv4"},
		{"10.1.0.0/16 nowhere", "nowhere: "},
		{"10.0.0.0/8 osrednja-b", "row 2: 10.0.0.0/8"},
		{"10.1.0.0/16", "not a row"},
		{"", "not a row"},
		{"10.1.0.0/16 osrednja osrednja", "not a row"},
	} {
		f := b.writeFile("blocks", "10.0.0.0/8 osrednja\n"+c.row+"\n")
		for _, command := range []string{"validate", "apply"} {
			out, code := b.runOnPlatform(command, "--blocks", f)
			expectOutput(t, out, code, fault.ExitUsage, "row 2", c.reason)
		}
	}
	head, _, _, err := tablestore.ReadHead(t.Context(), b.store, "")
	if err != nil || head.Version != 1 {
		t.Errorf("version %d after the refusals, %v", head.Version, err)
	}
}

// firstInstances returns the instances of order 0 in a lookup response, or its
// status if the lookup fails.
func firstInstances(t *testing.T, instance platform.Instance, query string) []string {
	resp, err := http.Get("http://" + instance.CallerAddress + wire.PathLookup + "?route=certdesk" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var a wire.LookupAnswer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil || resp.StatusCode != http.StatusOK {
		return []string{resp.Status}
	}
	var ids []string
	for _, in := range a.Instances {
		if in.Order == 0 {
			ids = append(ids, in.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// awaitFirstInstances waits until lookups return the given instances at order 0.
func awaitFirstInstances(t *testing.T, instance platform.Instance, query string, want ...string) {
	t.Helper()
	var got []string
	for range 400 {
		if got = firstInstances(t, instance, query); slices.Equal(got, want) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("lookup%s: first instances %v, want %v", query, got, want)
}

func TestLookupsFollowTheCallersBlocks(t *testing.T) {
	t.Parallel()
	b := &testbed{t: t, store: standin.New(time.Now), dir: t.TempDir()}
	p := httptest.NewServer(standin.Handler(b.store))
	t.Cleanup(p.Close)
	b.url = p.URL
	instance := b.startInstance("a1", "osrednja-a", "osrednja", settings.TLS{})
	b.startInstance("b1", "osrednja-b", "osrednja", settings.TLS{})
	b.startInstance("z1", "zaliv-a", "zaliv", settings.TLS{})
	routes, _ := b.installExamples()
	awaitFirstInstances(t, instance, "&client=10.1.2.3", "a1")

	list := b.writeFile("blocks", "10.0.0.0/8 zaliv\n10.1.0.0/16 osrednja-b\n127.0.0.0/8 osrednja\n2001:db8::/32 zaliv-a\n")
	out, code := b.runOnPlatform("apply", "--blocks", list, "--wait", "20s")
	expectOutput(t, out, code, 0, "blocks", "accepted as version 2", "in force")
	expectBlocksInUse := func() {
		t.Helper()
		awaitFirstInstances(t, instance, "&client=10.1.2.3", "b1")
		awaitFirstInstances(t, instance, "&client=10.2.2.3", "z1")
		awaitFirstInstances(t, instance, "&client=2001:db8::7", "z1")
		awaitFirstInstances(t, instance, "", "a1", "b1")
		awaitFirstInstances(t, instance, "&client=192.0.2.1", "a1")
		awaitFirstInstances(t, instance, "&client=here", "400 Bad Request")
	}
	expectBlocksInUse()

	// An edit of the tables keeps the blocks.
	edited := b.writeEdited("next.yaml", routes, "version: 1", "version: 2")
	edited = b.writeEdited("next.yaml", edited, "name: certdesk", "name: certdesk\n    queue_timeout: 111ms")
	out, code = b.runOnPlatform("apply", "--routes", edited, "--wait", "20s")
	expectOutput(t, out, code, 0, "queue_timeout", "accepted as version 3")
	expectBlocksInUse()

	// The last blocks stay in use while those of a new version cannot be read.
	head, _, _, err := tablestore.ReadHead(t.Context(), b.store, "")
	if err != nil {
		t.Fatal(err)
	}
	next, err := tablestore.LoadWithoutDefaults(t.Context(), b.store, head)
	if err != nil || next.Blocks == nil || next.Blocks.Count != 4 {
		t.Fatalf("blocks %+v, %v", next.Blocks, err)
	}
	next.Blocks = &table.Blocks{Object: tablestore.BlocksName(nil), Count: 1}
	if _, err := tablestore.Accept(t.Context(), b.store, b.store, tablestore.Edit{ID: "missing", Tables: next}); err != nil {
		t.Fatal(err)
	}
	out, code = b.runOnPlatform("watch", "--once")
	expectOutput(t, out, code, 0)
	expectBlocksInUse()

	out, code = b.runOnPlatform("apply", "--blocks", b.writeFile("none", ""), "--wait", "20s")
	expectOutput(t, out, code, 0, "accepted as version 5")
	awaitFirstInstances(t, instance, "&client=10.1.2.3", "a1")
	awaitFirstInstances(t, instance, "", "a1")
}
