// Package seeded runs the property tests of a package with a fixed seed, so that
// their results are reproducible.
package seeded

import (
	"flag"
	"os"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // registers the flags that FixSeed sets
)

// Main is the body of a package's TestMain. It calls FixSeed, runs the tests and
// exits.
func Main(m *testing.M, seed uint64, checks int) {
	FixSeed(seed, checks)
	os.Exit(m.Run())
}

// FixSeed parses the flags and sets the seed and the number of checks of each
// property. The flags -rapid.seed and -rapid.checks on the command line take
// precedence.
func FixSeed(seed uint64, checks int) {
	flag.Parse()
	passed := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { passed[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed":   strconv.FormatUint(seed, 10),
		"rapid.checks": strconv.Itoa(checks),
	} {
		if passed[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
