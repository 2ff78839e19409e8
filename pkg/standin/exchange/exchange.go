// Package exchange defines the requests and responses between test callers and
// target stand-ins. Each request carries a nonce, and its response is derived
// from the nonce and from what the target received, so that the caller can check
// that it received the complete response to its own request.
package exchange

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Header fields of requests and responses.
const (
	// HeaderNonce identifies the request; repeats carry the same nonce.
	HeaderNonce = "Standin-Nonce"
	// HeaderNonIdempotent is "true" on a request that must not run twice.
	HeaderNonIdempotent = "Standin-Once"
	// HeaderResponseBytes requests a response with that many bytes of filler.
	HeaderResponseBytes = "Standin-Answer-Bytes"
	// HeaderCrash is "true" on a request that crashes the target that runs it.
	HeaderCrash = "Standin-Crash"
)

// Prefixes that the nonce gets in the seed of a request's body and in that of a
// response's filler, so that the two differ.
const (
	requestSeedPrefix  = "request:"
	responseSeedPrefix = "answer:"
)

// compareChunkBytes is how much of a response is compared at a time.
const compareChunkBytes = 32 << 10

// RequestSpec describes a request that a caller sends.
type RequestSpec struct {
	Nonce         string
	Method        string
	Path          string
	BodyBytes     int64
	ResponseBytes int64
	// NonIdempotent is set for a request that must not run twice.
	NonIdempotent bool
}

// ReceivedRequest is the first line of a response body: the request as the target
// received it.
type ReceivedRequest struct {
	Nonce         string `json:"nonce"`
	Method        string `json:"method"`
	Path          string `json:"path"`
	BodyBytes     int64  `json:"body_bytes"`
	BodyChecksum  string `json:"body_sum"`
	ResponseBytes int64  `json:"answer_bytes"`
	Target        string `json:"target"`
}

// SetHeader sets the header fields of s in h.
func (s RequestSpec) SetHeader(h http.Header) {
	h.Set(HeaderNonce, s.Nonce)
	h.Set(HeaderResponseBytes, strconv.FormatInt(s.ResponseBytes, 10))
	if s.NonIdempotent {
		h.Set(HeaderNonIdempotent, "true")
	}
}

// Body returns the request's body: BodyBytes pseudorandom bytes derived from Nonce.
func (s RequestSpec) Body() io.Reader { return filler(requestSeedPrefix+s.Nonce, s.BodyBytes) }

// filler returns n pseudorandom bytes that depend only on seed.
func filler(seed string, n int64) io.Reader {
	return io.LimitReader(rand.NewChaCha8(sha256.Sum256([]byte(seed))), n)
}

// ReadRequest reads the whole body of r and returns the request as received,
// without the target's name.
func ReadRequest(r *http.Request) (ReceivedRequest, error) {
	sum := xxhash.New()
	n, err := io.Copy(sum, r.Body)
	if err != nil {
		return ReceivedRequest{}, fmt.Errorf("cannot read the request body: %w", err)
	}
	responseBytes, err := strconv.ParseInt("0"+r.Header.Get(HeaderResponseBytes), 10, 64)
	if err != nil {
		return ReceivedRequest{}, fmt.Errorf("header %s: %w", HeaderResponseBytes, err)
	}
	return ReceivedRequest{
		Nonce: r.Header.Get(HeaderNonce), Method: r.Method, Path: r.URL.Path,
		BodyBytes: n, BodyChecksum: formatHex(sum.Sum64()), ResponseBytes: responseBytes,
	}, nil
}

// WriteResponse writes the response to the request rec: rec as a line of JSON, then
// the filler. The response to a HEAD request has no body.
func WriteResponse(w http.ResponseWriter, rec ReceivedRequest) error {
	line, err := json.Marshal(rec)
	if err != nil {
		return err
	}
	line = append(line, '\n')
	w.Header().Set(HeaderNonce, rec.Nonce)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(int64(len(line))+rec.ResponseBytes, 10))
	if rec.Method == http.MethodHead {
		return nil
	}
	if _, err := w.Write(line); err != nil {
		return err
	}
	_, err = io.Copy(w, filler(responseSeedPrefix+rec.Nonce, rec.ResponseBytes))
	return err
}

// WrongResponseError reports a response that differs from the complete response
// to the request.
type WrongResponseError struct{ Reason string }

// Error implements error.
func (e *WrongResponseError) Error() string { return "wrong response: " + e.Reason }

func wrongResponse(format string, args ...any) error {
	return &WrongResponseError{Reason: fmt.Sprintf(format, args...)}
}

// IsWrongResponse reports whether err is a WrongResponseError. It is false for an
// error that occurred while reading the response.
func IsWrongResponse(err error) bool {
	var w *WrongResponseError
	return errors.As(err, &w)
}

// CheckResponse reads the whole of resp and compares it with the expected response
// to s. It returns a WrongResponseError when the response differs, and the read
// error when the response cannot be read to its end.
func CheckResponse(s RequestSpec, resp *http.Response) error {
	if got := resp.Header.Get(HeaderNonce); got != s.Nonce {
		return wrongResponse("header has nonce %q, want %q", got, s.Nonce)
	}
	if s.Method == http.MethodHead {
		return nil
	}
	body := bufio.NewReaderSize(resp.Body, compareChunkBytes)
	line, err := body.ReadBytes('\n')
	if errors.Is(err, io.EOF) {
		return wrongResponse("body ends within its first line")
	}
	if err != nil {
		return err
	}
	if err := s.checkReceivedRequest(line); err != nil {
		return err
	}
	return s.checkFiller(body)
}

// checkReceivedRequest compares s with line, which describes the request as the
// target received it.
func (s RequestSpec) checkReceivedRequest(line []byte) error {
	var rec ReceivedRequest
	if err := json.Unmarshal(line, &rec); err != nil {
		return wrongResponse("first line of the body is not valid JSON")
	}
	want := ReceivedRequest{
		Nonce: s.Nonce, Method: s.Method, Path: s.Path,
		BodyBytes: s.BodyBytes, BodyChecksum: s.bodyChecksum(), ResponseBytes: s.ResponseBytes, Target: rec.Target,
	}
	if rec != want {
		return wrongResponse("target received %+v, want %+v", rec, want)
	}
	return nil
}

// bodyChecksum returns the checksum of the request's body in hexadecimal digits.
func (s RequestSpec) bodyChecksum() string {
	sum := xxhash.New()
	_, _ = io.Copy(sum, s.Body())
	return formatHex(sum.Sum64())
}

// checkFiller compares the rest of the body with the expected filler.
func (s RequestSpec) checkFiller(body io.Reader) error {
	expected := filler(responseSeedPrefix+s.Nonce, s.ResponseBytes)
	got := make([]byte, compareChunkBytes)
	want := make([]byte, compareChunkBytes)
	var total int64
	for {
		n, err := body.Read(got)
		m, _ := io.ReadFull(expected, want[:n])
		if m < n || !bytes.Equal(got[:n], want[:m]) {
			return wrongResponse("filler differs within bytes %d to %d", total, total+int64(n))
		}
		total += int64(n)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	if total != s.ResponseBytes {
		return wrongResponse("filler has %d bytes, want %d", total, s.ResponseBytes)
	}
	return nil
}

func formatHex(v uint64) string { return strconv.FormatUint(v, 16) }
