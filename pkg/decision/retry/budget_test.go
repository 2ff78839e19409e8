package retry

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 41, 100) }

func TestAdditionalAttemptsStayWithinRatio(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := NewBudget()
		first, additional := 0, 0
		for _, withdraw := range rapid.SliceOfN(rapid.Bool(), 0, 2000).Draw(rt, "spend") {
			if !withdraw {
				first++
				b.Deposit()
			} else if b.TryWithdraw() {
				additional++
			}
			if float64(additional) > DefaultRatio*float64(first)+1 {
				rt.Fatalf("%d additional attempts after %d first attempts", additional, first)
			}
		}
	})
}
