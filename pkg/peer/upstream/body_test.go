package upstream

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/sourcegraph/conc"
)

const streamedText = "the whole body"

// streamedBody returns the streamed body of a request.
func streamedBody(t *testing.T) *Body {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://x/", io.NopCloser(strings.NewReader(streamedText)))
	if err != nil {
		t.Fatal(err)
	}
	r.ContentLength = -1
	b, err := NewBody(r, 1<<10)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestReaderOfEarlierAttemptTakesNothingFromTheBody has an attempt end before its reader
// has read anything, and read after the next one was made.
func TestReaderOfEarlierAttemptTakesNothingFromTheBody(t *testing.T) {
	b := streamedBody(t)
	earlier := b.NewReader()
	if !b.Replayable() {
		t.Fatal("a body of which nothing was read is not replayable")
	}
	if n, err := earlier.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("the reader of the ended attempt reads %d bytes, error %v", n, err)
	}
	next := b.NewReader()
	if n, err := earlier.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("the reader of the ended attempt reads %d bytes beside the next one, error %v", n, err)
	}
	if got, err := io.ReadAll(next); string(got) != streamedText || err != nil {
		t.Errorf("the next attempt reads %q, error %v", got, err)
	}
}

// TestBodyThatWasReadFromBelongsToItsAttempt has an attempt read before it ends.
func TestBodyThatWasReadFromBelongsToItsAttempt(t *testing.T) {
	b := streamedBody(t)
	if _, err := b.NewReader().Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if b.Replayable() {
		t.Error("a body that was read from is replayable")
	}
	if n, err := b.NewReader().Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("another attempt reads %d bytes, error %v", n, err)
	}
}

// TestBodyIsNeverSharedByTwoAttempts has the reader of an attempt begin while the request
// is about to make another attempt: one of them gets the whole body.
func TestBodyIsNeverSharedByTwoAttempts(t *testing.T) {
	for range 2000 {
		b := streamedBody(t)
		earlier := b.NewReader()
		var first, second []byte
		var wg conc.WaitGroup
		wg.Go(func() { first, _ = io.ReadAll(earlier) })
		if b.Replayable() {
			second, _ = io.ReadAll(b.NewReader())
		}
		wg.Wait()
		if got := string(first) + string(second); got != streamedText {
			t.Fatalf("the attempts read %q and %q", first, second)
		}
	}
}
