package retry

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 41, 100) }

func TestFurtherAttemptsStayWithinTheRatio(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := NewBudget()
		first, further := 0, 0
		for _, spend := range rapid.SliceOfN(rapid.Bool(), 0, 2000).Draw(rt, "spend") {
			if !spend {
				first++
				b.Deposit()
			} else if b.TryWithdraw() {
				further++
			}
			if float64(further) > DefaultRatio*float64(first)+1 {
				rt.Fatalf("%d further attempts after %d first ones", further, first)
			}
		}
	})
}
