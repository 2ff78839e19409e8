package target

import (
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/standin/exchange"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// observingWriter is a ResponseWriter without a buffer. It calls complete before
// it returns from the Write that completes the body.
type observingWriter struct {
	*httptest.ResponseRecorder
	complete func()
}

// Write implements http.ResponseWriter.
func (w observingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseRecorder.Write(b)
	want, _ := strconv.Atoi(w.Header().Get("Content-Length"))
	if len(b) > 0 && w.Body.Len() == want {
		w.complete()
	}
	return n, err
}

// An instance frees its slot when it has the complete response, and another one may
// use the slot at once. By then the target must not count the first request as running.
func TestRunHasEndedWhenItsResponseIsComplete(t *testing.T) {
	f := newFixture(t, Config{Slots: 1, ServiceTime: table.Duration(time.Millisecond)})
	for _, size := range []int64{0, 200, 20_000, 200_000} {
		s := f.nextRequest()
		s.ResponseBytes = size
		r := httptest.NewRequestWithContext(t.Context(), s.Method, s.Path, s.Body())
		s.SetHeader(r.Header)
		var completed []Stats
		w := observingWriter{httptest.NewRecorder(), func() { completed = append(completed, f.target.Stats()) }}
		f.target.serve(f.target.currentProcess(), w, r)
		if len(completed) != 1 {
			t.Fatalf("%d bytes: the response was completed %d times", size, len(completed))
		}
		if running := completed[0].Running; running != 0 {
			t.Errorf("%d bytes: %d requests run when the response is complete", size, running)
		}
		if err := exchange.CheckResponse(s, w.Result()); err != nil {
			t.Errorf("%d bytes: %v", size, err)
		}
	}
	if st := f.target.Stats(); st.Running != 0 || st.Completed != 4 || st.PeakRequests != 1 {
		t.Errorf("%+v", st)
	}
}
