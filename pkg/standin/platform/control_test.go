package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

func put(t *testing.T, h http.Handler, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), http.MethodPut, path, strings.NewReader(body)))
	return rec
}

func TestControlChangesOnlyTheNamedFaults(t *testing.T) {
	s := New(nil)
	h := Handler(s)
	if rec := put(t, h, PathFaults, `{"delay":"20ms","lose_answers":2}`); rec.Code != http.StatusOK {
		t.Fatalf("answer %d %s", rec.Code, rec.Body)
	}
	if rec := put(t, h, PathFaults, `{"down":true}`); rec.Code != http.StatusOK {
		t.Fatalf("answer %d %s", rec.Code, rec.Body)
	}
	f := s.Faults()
	if !f.Down || f.Delay.Std() != 20*time.Millisecond || f.LoseAnswers != 2 {
		t.Fatalf("faults: %+v", f)
	}
	if rec := put(t, h, PathFaults, `{"dwon":true}`); rec.Code != http.StatusBadRequest {
		t.Fatalf("an unknown fault got %d", rec.Code)
	}
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), http.MethodGet, PathStats, nil))
	if body, _ := io.ReadAll(rec.Body); !strings.Contains(string(body), `"reads":0`) {
		t.Fatalf("stats: %s", body)
	}
}

func TestSettingsAreStrict(t *testing.T) {
	load := func(text string) error {
		path := filepath.Join(t.TempDir(), "platform.yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadSettings(path)
		return err
	}
	for _, bad := range []string{"lisen: x\n", "listen: 192.0.2.1:80\n", "listen: localhost\n", "faults:\n  delay: fast\n"} {
		err := load(bad)
		wantKind(t, err, fault.KindInvalidSettings)
	}
	wantKind(t, load("faults:\n  delay: 5ms\n"), fault.KindNone)
	if _, err := LoadSettings("../../../examples/platform.yaml"); err != nil {
		t.Fatal(err)
	}
}
