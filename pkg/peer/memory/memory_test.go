package memory

import (
	"bytes"
	"testing"

	"github.com/sourcegraph/conc"
)

func TestBudgetIsNeverExceeded(t *testing.T) {
	const limit, part, workers = 100, 30, 50
	b := NewBudget(limit)
	held := make(chan struct{}, limit/part)
	var wg conc.WaitGroup
	for range workers {
		wg.Go(func() {
			for range 1000 {
				if !b.TryReserve(part) {
					continue
				}
				select {
				case held <- struct{}{}:
					<-held
				default:
					t.Errorf("more than %d bytes are reserved", limit)
				}
				b.Release(part)
			}
		})
	}
	wg.Wait()
	if !b.TryReserve(limit) || b.TryReserve(1) || b.Refused() == 0 {
		t.Errorf("after all releases: %d refused", b.Refused())
	}
}

func TestNilBudgetHasNoBound(t *testing.T) {
	var b *Budget
	if !b.TryReserve(1 << 60) {
		t.Error("a nil budget refused a reservation")
	}
	b.Release(1 << 60)
}

func TestUsualHeadsReserveNothing(t *testing.T) {
	b := NewBudget(0)
	var h Head
	if !h.Add(b, bytes.Repeat([]byte("Name: a usual value\r\n"), 40)) {
		t.Error("a head of 40 lines was refused")
	}
}

func TestHeadReservesItsLinesUntilItsRelease(t *testing.T) {
	const limit = 64 << 10
	b := NewBudget(limit)
	var h Head
	lines := bytes.Repeat([]byte("a:\n"), 400)
	for range 100 {
		if !h.Add(b, lines) {
			break
		}
	}
	if h.reserved == 0 || b.Refused() != 1 {
		t.Errorf("%d bytes are reserved, %d refused", h.reserved, b.Refused())
	}
	h.Release(b)
	if !b.TryReserve(limit) {
		t.Error("the released head still holds a reservation")
	}
}
