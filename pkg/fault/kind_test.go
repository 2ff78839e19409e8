package fault

import (
	"fmt"
	"testing"
	"time"
)

func TestEveryKindHasOneRow(t *testing.T) {
	seen := map[string]Kind{}
	for _, k := range Kinds() {
		a := k.Info()
		if a.Name == "" || a.Status == 0 || a.Outcome == "" || a.ExitCode == 0 {
			t.Errorf("kind %d has an incomplete row: %+v", k, a)
		}
		if a.Outcome == OutcomeCompleted {
			t.Errorf("%s: an error can't state that the request completed", k)
		}
		if other, ok := seen[a.Name]; ok {
			t.Errorf("kinds %d and %d share the name %q", k, other, a.Name)
		}
		seen[a.Name] = k
		if got, ok := KindByName(a.Name); !ok || got != k {
			t.Errorf("KindByName(%q) = %v, %v", a.Name, got, ok)
		}
	}
}

func TestKindSurvivesWrapping(t *testing.T) {
	err := WithRetryAfter(New(KindOverloaded, "queue is full"), 3*time.Second)
	wrapped := fmt.Errorf("serving: %w", err)
	if KindOf(wrapped) != KindOverloaded {
		t.Fatalf("kind = %v", KindOf(wrapped))
	}
	if got := RetryAfterOf(err); got != 3*time.Second {
		t.Fatalf("retry after = %v", got)
	}
	if got := RetryAfterOf(New(KindLeaving, "stopping")); got != KindLeaving.Info().RetryAfter {
		t.Fatalf("default retry after = %v", got)
	}
	if KindOf(nil) != KindNone || KindOf(fmt.Errorf("plain")) != KindNone {
		t.Fatal("an error without a kind must be KindNone")
	}
}
