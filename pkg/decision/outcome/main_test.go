package outcome

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "7411")
	flag.Set("rapid.checks", "400")
	os.Exit(m.Run())
}
