package allowance

import "testing"

func TestReturnOfSharesInUseIsWithheld(t *testing.T) {
	for inUse, want := range map[int]bool{3: false, 4: true, 5: true} {
		h := newTwoHolders(SafetyOverrides{})
		h.writeRow(h.a.Heartbeat(h.now), h.b.Heartbeat(h.now))
		h.a.ObserveRow(h.now, h.row)
		h.b.ObserveRow(h.now, h.row)
		granted := h.b.Shares(h.now).Counts[testLimit]
		first := h.b.RequestLoan(h.now, keyA, testLimit, 2)
		h.b.RecordLoan(h.now, h.now, first, h.a.Lend(h.now, first))
		req := h.b.RequestLoan(h.now, keyA, testLimit, 0)
		h.b.SetInUse(h.now, Counts{testLimit: inUse})
		if got := h.b.WithholdReturn(h.now, req); got != want {
			t.Errorf("%d requests, %d granted shares: withheld is %t", inUse, granted, got)
		}
		wantShares := granted
		if want {
			wantShares += 2
		}
		if got := h.b.Shares(h.now).Counts[testLimit]; got != wantShares {
			t.Errorf("%d requests: %d shares are usable, want %d", inUse, got, wantShares)
		}
	}
}

// A request after the end of a loan asks for a new one, which takes nothing out of
// use.
func TestRequestAfterTheEndOfALoanIsNotWithheld(t *testing.T) {
	h := newTwoHolders(SafetyOverrides{})
	h.writeRow(h.a.Heartbeat(h.now), h.b.Heartbeat(h.now))
	h.a.ObserveRow(h.now, h.row)
	h.b.ObserveRow(h.now, h.row)
	first := h.b.RequestLoan(h.now, keyA, testLimit, 2)
	h.b.RecordLoan(h.now, h.now, first, h.a.Lend(h.now, first))
	h.now = h.now.Add(testTiming().MaxLoan)
	req := h.b.RequestLoan(h.now, keyA, testLimit, 1)
	h.b.SetInUse(h.now, Counts{testLimit: 5})
	if h.b.ReturnsShares(req) || h.b.WithholdReturn(h.now, req) {
		t.Error("the request for a new loan is withheld")
	}
}
