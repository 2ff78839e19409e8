package fault

import (
	"fmt"
	"testing"
	"time"
)

func TestEveryKindHasCompleteUniqueInfo(t *testing.T) {
	seen := map[string]Kind{}
	for _, k := range Kinds() {
		info := k.Info()
		if info.Name == "" || info.Status == 0 || info.Outcome == "" || info.ExitCode == 0 {
			t.Errorf("kind %d has incomplete info: %+v", k, info)
		}
		if info.Outcome == OutcomeCompleted {
			t.Errorf("%s: an error kind must not have the outcome completed", k)
		}
		if other, ok := seen[info.Name]; ok {
			t.Errorf("kinds %d and %d have the same name %q", k, other, info.Name)
		}
		seen[info.Name] = k
		if got, ok := KindByName(info.Name); !ok || got != k {
			t.Errorf("KindByName(%q) = %v, %v", info.Name, got, ok)
		}
	}
}

func TestKindSurvivesWrapping(t *testing.T) {
	err := WithRetryAfter(New(KindOverloaded, "the queue is full"), 3*time.Second)
	wrapped := fmt.Errorf("serving: %w", err)
	if KindOf(wrapped) != KindOverloaded {
		t.Fatalf("KindOf(wrapped) = %v, want KindOverloaded", KindOf(wrapped))
	}
	if got := RetryAfterOf(err); got != 3*time.Second {
		t.Fatalf("RetryAfterOf = %v, want 3s", got)
	}
	if got := RetryAfterOf(New(KindLeaving, "stopping")); got != KindLeaving.Info().RetryAfter {
		t.Fatalf("RetryAfterOf without an attached time = %v, want the default of the kind", got)
	}
	if KindOf(nil) != KindNone || KindOf(fmt.Errorf("plain")) != KindNone {
		t.Fatal("an error without a kind must be KindNone")
	}
}
