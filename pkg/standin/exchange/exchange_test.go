package exchange

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// respond returns the correct response to s.
func respond(t *testing.T, s RequestSpec) *http.Response {
	t.Helper()
	req := httptest.NewRequestWithContext(t.Context(), s.Method, s.Path, s.Body())
	s.SetHeader(req.Header)
	rec, err := ReadRequest(req)
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	if err := WriteResponse(w, rec); err != nil {
		t.Fatal(err)
	}
	return w.Result()
}

func newRequest(nonce string) RequestSpec {
	return RequestSpec{Nonce: nonce, Method: http.MethodPost, Path: "/p", BodyBytes: 300, ResponseBytes: 100_000}
}

func TestCheckResponseAcceptsCorrectResponse(t *testing.T) {
	if err := CheckResponse(newRequest("a"), respond(t, newRequest("a"))); err != nil {
		t.Fatal(err)
	}
	headRequest := RequestSpec{Nonce: "h", Method: http.MethodHead, Path: "/p", ResponseBytes: 10}
	if err := CheckResponse(headRequest, respond(t, headRequest)); err != nil {
		t.Fatal(err)
	}
}

func TestCheckResponseDetectsAlteredBodies(t *testing.T) {
	edits := map[string]func(body []byte) []byte{
		"empty":      func([]byte) []byte { return nil },
		"truncated":  func(b []byte) []byte { return b[:len(b)-1] },
		"lengthened": func(b []byte) []byte { return append(b, 0) },
		"corrupted":  func(b []byte) []byte { b[len(b)/2] ^= 1; return b },
		"repeated":   func(b []byte) []byte { return append(b, b...) },
		"reordered":  func(b []byte) []byte { n := len(b); b[n-1], b[n-9] = b[n-9]^1, b[n-1]; return b },
	}
	for name, edit := range edits {
		resp := respond(t, newRequest("a"))
		body, _ := io.ReadAll(resp.Body)
		resp.Body = io.NopCloser(bytes.NewReader(edit(body)))
		if err := CheckResponse(newRequest("a"), resp); !IsWrongResponse(err) {
			t.Errorf("%s body: got error %v, want a WrongResponseError", name, err)
		}
	}
}

func TestCheckResponseDetectsResponsesToOtherRequests(t *testing.T) {
	resp := respond(t, newRequest("b"))
	if err := CheckResponse(newRequest("a"), resp); !IsWrongResponse(err) {
		t.Errorf("response with another nonce: got error %v, want a WrongResponseError", err)
	}
	resp = respond(t, newRequest("b"))
	resp.Header.Set(HeaderNonce, "a")
	if err := CheckResponse(newRequest("a"), resp); !IsWrongResponse(err) {
		t.Errorf("response to another request with the expected nonce header: got error %v, want a WrongResponseError", err)
	}
	shorterBody := newRequest("a")
	shorterBody.BodyBytes = 299
	if err := CheckResponse(newRequest("a"), respond(t, shorterBody)); !IsWrongResponse(err) {
		t.Errorf("response to a truncated request: got error %v, want a WrongResponseError", err)
	}
}

func TestReadErrorIsNotAWrongResponse(t *testing.T) {
	resp := respond(t, newRequest("a"))
	errReset := errors.New("reset")
	resp.Body = io.NopCloser(io.MultiReader(io.LimitReader(resp.Body, 5000), readerFunc(func([]byte) (int, error) { return 0, errReset })))
	if err := CheckResponse(newRequest("a"), resp); !errors.Is(err, errReset) || IsWrongResponse(err) {
		t.Fatal(err)
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }
