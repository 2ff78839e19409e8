package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/jacinthramp/jacinthramp/test/strict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func put(t *testing.T, h http.Handler, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), http.MethodPut, path, strings.NewReader(body)))
	return rec
}

func TestPutFaultsChangesOnlyNamedFaults(t *testing.T) {
	s := New(nil)
	h := Handler(s)
	if rec := put(t, h, PathFaults, `{"delay":"20ms","lose_answers":2}`); rec.Code != http.StatusOK {
		t.Fatalf("setting faults returned status %d: %s", rec.Code, rec.Body)
	}
	if rec := put(t, h, PathFaults, `{"down":true}`); rec.Code != http.StatusOK {
		t.Fatalf("setting faults returned status %d: %s", rec.Code, rec.Body)
	}
	f := s.Faults()
	if !f.Down || f.Delay.Std() != 20*time.Millisecond || f.LoseResponses != 2 {
		t.Fatalf("faults: %+v", f)
	}
	if rec := put(t, h, PathFaults, `{"dwon":true}`); rec.Code != http.StatusBadRequest {
		t.Fatalf("setting an unknown fault returned status %d", rec.Code)
	}
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, httptest.NewRequestWithContext(t.Context(), http.MethodGet, PathStats, nil))
	if body, _ := io.ReadAll(rec.Body); !strings.Contains(string(body), `"reads":0`) {
		t.Fatalf("stats: %s", body)
	}
}

func TestLoadSettingsRejectsInvalidFiles(t *testing.T) {
	load := func(path string) error {
		_, err := LoadSettings(path)
		return err
	}
	strict.CheckSettings(t, load, []string{
		"lisen: x\n",
		"listen: 192.0.2.1:80\n",
		"listen: localhost\n",
		"faults:\n  delay: fast\n",
	}, []string{"../../../examples/platform.yaml"})
}
