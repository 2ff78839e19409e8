package tablestore

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/decision/block"
	standin "github.com/jacinthramp/jacinthramp/pkg/standin/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// randomBlockList returns a list with about two thirds of the 256 blocks 10.x.0.0/16.
func randomBlockList(r *rand.Rand) []byte {
	var b strings.Builder
	for x := range 256 {
		if r.IntN(3) > 0 {
			fmt.Fprintf(&b, "10.%d.0.0/16 site-%d\n", x, r.IntN(3))
		}
	}
	return []byte(b.String())
}

func TestUpdateBlocksMatchesFullList(t *testing.T) {
	store, r := standin.New(time.Now), rand.New(rand.NewPCG(9, 9))
	old := randomBlockList(r)
	held, err := block.ParseFile(old, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name         string
		delta, whole bool
		damage       func(d *block.Delta)
	}{
		{"delta only", true, false, func(*block.Delta) {}},
		{"missing delta", false, true, func(*block.Delta) {}},
		{"delta that does not apply", true, true, func(d *block.Delta) { d.Remove = append(d.Remove, block.Row{Prefix: "11.0.0.0/8"}) }},
		{"delta of another list", true, true, func(d *block.Delta) { d.Set = append(d.Set, block.Row{Prefix: "11.0.0.0/8", Site: "site-0"}) }},
	} {
		next := randomBlockList(r)
		want, err := block.ParseFile(next, nil)
		if err != nil {
			t.Fatal(err)
		}
		d, ok := block.Diff(old, next, 256)
		if _, more := block.Diff(old, next, 1); !ok || more {
			t.Fatalf("%s: no delta within the limit, or one above it", c.name)
		}
		c.damage(&d)
		name, data, err := EncodeDelta(d)
		if err != nil {
			t.Fatal(err)
		}
		put := func(name string, data []byte) {
			if err := store.PutObject(t.Context(), name, data); err != nil {
				t.Fatal(err)
			}
		}
		if c.delta {
			put(name, data)
		}
		if c.whole {
			put(BlocksName(next), next)
		}
		b := table.Blocks{Object: BlocksName(next), Count: want.Len(), DeltaBase: BlocksName(old), Delta: name}
		got, err := UpdateBlocks(t.Context(), store, b, BlocksName(old), held)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		for x := range 256 {
			a := netip.AddrFrom4([4]byte{10, byte(x), 1, 1})
			g, gok := got.Lookup(a)
			w, wok := want.Lookup(a)
			if gok != wok || gok && got.SiteName(g) != want.SiteName(w) {
				t.Fatalf("%s: the lookup of %v differs from the full list", c.name, a)
			}
		}
	}
	if _, err := UpdateBlocks(t.Context(), store, table.Blocks{Object: "blocks/none", Count: 1}, "", nil); err == nil {
		t.Error("UpdateBlocks succeeded for a missing list")
	}
}
