package catalog

import (
	"fmt"
	"testing"
)

// BenchmarkAssemble applies one change and assembles the tables.
func BenchmarkAssemble(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			c := withTargets(n)
			v := uint64(n + 2)
			b.ReportAllocs()
			for b.Loop() {
				v++
				c.Merge(at(0), Targets, []Entry{target("t1", v)}, v)
				c.Assemble()
			}
		})
	}
}
