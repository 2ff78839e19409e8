// Package seeded runs a package's property tests with a fixed seed, so that
// their results are reproducible.
package seeded

import (
	"flag"
	"os"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // defines the flags that are set here
)

// Main is the body of a package's TestMain: it calls FixSeed and runs the tests.
func Main(m *testing.M, seed uint64, checks int) {
	FixSeed(seed, checks)
	os.Exit(m.Run())
}

// FixSeed parses the flags and sets the seed and the number of checks of each
// property. The flags -rapid.seed and -rapid.checks on the command line take
// precedence.
func FixSeed(seed uint64, checks int) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed":   strconv.FormatUint(seed, 10),
		"rapid.checks": strconv.Itoa(checks),
	} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
