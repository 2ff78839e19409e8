package member

import (
	"math"
	"testing"
	"time"
)

// TestReportFromTheFutureKeepsNoMemberAlive guards against a report with an age below 0,
// after which a member that has ended is in use for as long.
func TestReportFromTheFutureKeepsNoMemberAlive(t *testing.T) {
	for _, age := range []time.Duration{-time.Hour, math.MinInt64} {
		v := newView()
		v.ObserveReport(start, Report{Info: info("a", "1"), Age: age})
		if s := stateOf(t, v, start.Add(DefaultTiming().SuspectAfter), "a"); s != Suspect {
			t.Errorf("age %v: state %v after SuspectAfter", age, s)
		}
		agreed := newView()
		agreed.ObserveMessage(start, info("a", "1"))
		agreed.ObserveAgreement(start, age)
		if s := stateOf(t, agreed, start.Add(DefaultTiming().SuspectAfter), "a"); s != Suspect {
			t.Errorf("age %v of an agreement: state %v after SuspectAfter", age, s)
		}
	}
}
