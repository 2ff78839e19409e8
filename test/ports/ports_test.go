package ports_test

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"github.com/jacinthramp/jacinthramp/test/ports"
)

// printAddressesVariable is the environment variable that makes the test binary act as
// another test process, which prints its addresses.
const printAddressesVariable = "JACINTHRAMP_TEST_PRINT_ADDRESSES"

// addressCount is the number of addresses that each test process allocates.
const addressCount = 800

// addressPrefix marks the lines that hold an address.
const addressPrefix = "address "

func reserve(t *testing.T) *ports.Block {
	t.Helper()
	block, err := ports.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return block
}

// Nothing listens on the allocated addresses, like on those of an instance between its
// end and its restart.
func TestConcurrentTestProcessesShareNoPort(t *testing.T) {
	own := reserve(t).Addresses(t, addressCount)
	if os.Getenv(printAddressesVariable) != "" {
		fmt.Println(addressPrefix + strings.Join(own, "\n"+addressPrefix))
		return
	}
	taken := map[string]bool{}
	for _, address := range own {
		taken[address] = true
	}
	for range 4 {
		for _, address := range addressesOfOther(t) {
			if taken[address] {
				t.Fatalf("%s is allocated to two test processes", address)
			}
		}
	}
}

// addressesOfOther returns the addresses of another test process.
func addressesOfOther(t *testing.T) []string {
	t.Helper()
	other := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^"+t.Name()+"$")
	other.Env = append(os.Environ(), printAddressesVariable+"=1")
	out, err := other.Output()
	if err != nil {
		t.Fatalf("the other test process: %v\n%s", err, out)
	}
	var addresses []string
	for line := range strings.Lines(string(out)) {
		if address, ok := strings.CutPrefix(strings.TrimSpace(line), addressPrefix); ok {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) != addressCount {
		t.Fatalf("the other test process printed %d addresses", len(addresses))
	}
	return addresses
}

func TestAddressBelongsToOneTestUntilItEnds(t *testing.T) {
	block := reserve(t)
	const rounds = 3
	for round := range rounds {
		t.Run(strconv.Itoa(round), func(t *testing.T) {
			seen := map[string]bool{}
			for range addressCount / 4 {
				for _, address := range block.Addresses(t, 4) {
					if seen[address] {
						t.Fatalf("%s is allocated twice", address)
					}
					seen[address] = true
				}
			}
		})
	}
}
