package mechanism

import "testing"

func TestEveryMechanismHasItsOwnName(t *testing.T) {
	seen := map[string]bool{}
	for m, name := range Names() {
		if name == "" || seen[name] {
			t.Errorf("mechanism %d is named %q", m, name)
		}
		seen[name] = true
		set, _, ok := ParseSet([]string{name})
		if !ok || set != NewSet(Mechanism(m)) {
			t.Errorf("%q is parsed as %b, %v", name, set.bits, ok)
		}
	}
}

func TestSetHoldsOnlyItsMembers(t *testing.T) {
	set, _, ok := ParseSet([]string{"hedges", "admission", "hedges"})
	if !ok {
		t.Fatal("known names are rejected")
	}
	for m, name := range Names() {
		want := name == "hedges" || name == "admission"
		if set.Has(Mechanism(m)) != want {
			t.Errorf("Has(%s) is %v", name, !want)
		}
	}
}

func TestUnknownNameIsReported(t *testing.T) {
	if _, unknown, ok := ParseSet([]string{"hedges", "hedge"}); ok || unknown != "hedge" {
		t.Errorf("unknown name %q, ok %v", unknown, ok)
	}
}
