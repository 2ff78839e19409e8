package outcome

import (
	"strings"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

func TestParseAcceptsIDsBuiltFromPrefix(t *testing.T) {
	now := time.UnixMilli(1_900_000_000_123)
	id, err := Parse(Prefix("osrednja-a-1", "i7x", now) + "order-43")
	if err != nil || id.Instance != "osrednja-a-1" || id.Incarnation != "i7x" || !id.IssuedAt.Equal(now) || id.Suffix != "order-43" {
		t.Fatalf("id = %+v, %v", id, err)
	}
}

func TestParseRejectsMalformedIDs(t *testing.T) {
	for _, text := range []string{
		"", "a", "a.b.c", "a.b.0.", ".b.0.s", "a..0.s", "a.b..s", "a.b.0.s.t", "a.b.-1.s", "a.b.+1.s", "a.b.00.s", "a.b.ZZ.s",
		"a.b.0.s s", "a.b.0.ž", "a.b.0." + strings.Repeat("x", MaxSuffixBytes+1), strings.Repeat("x", 64) + ".b.0.s",
	} {
		if id, err := Parse(text); fault.KindOf(err) != fault.KindBadRequestID {
			t.Errorf("Parse(%q) = %+v, %v", text, id, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add("osrednja-a-1.i7x.k8z.order-43")
	f.Add("a.b.0.s")
	f.Add("...")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := Parse(text)
		if err == nil && id.String() != text {
			t.Errorf("Parse(%q).String() = %q", text, id.String())
		}
	})
}
