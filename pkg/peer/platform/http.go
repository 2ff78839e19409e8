package platform

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// Paths of the platform's HTTP interface.
const (
	PathRows      = "/v1/rows"
	PathCommit    = "/v1/commit"
	PathObjects   = "/v1/objects"
	PathInstances = "/v1/instances"
)

// HeaderModified is the header field with the time of a row's last write by the
// platform's clock, in the format time.RFC3339Nano.
const HeaderModified = "Platform-Modified"

// maxResponseBytes limits the body of one response.
const maxResponseBytes = 256 << 20

// CommitRequest is the JSON body of a transaction.
type CommitRequest struct {
	Writes []Write `json:"writes"`
}

// CommitResponse is the JSON body of the response to a transaction.
type CommitResponse struct {
	// ETags holds the new ETags in the order of the writes.
	ETags []string `json:"etags"`
}

// Client is an HTTP client of the platform. It implements TableService, ObjectStore
// and InstanceRegistry, and is safe for concurrent use. It sets no timeouts: the
// context of a call limits its duration.
type Client struct {
	base string
	http *http.Client
}

var (
	_ TableService     = (*Client)(nil)
	_ ObjectStore      = (*Client)(nil)
	_ InstanceRegistry = (*Client)(nil)
)

// NewTLSClient is like NewClient, with a TLS configuration for an https base URL. A
// nil config means the system's certificate authorities and no client certificate.
func NewTLSClient(base string, config *tls.Config) *Client {
	t := newTransport()
	t.TLSClientConfig = config
	return NewClient(base, t)
}

func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}
}

// NewClient returns a client of the platform at the URL base, such as
// "http://127.0.0.1:7400". If rt is nil, the client creates its own transport.
func NewClient(base string, rt http.RoundTripper) *Client {
	if rt == nil {
		rt = newTransport()
	}
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: rt}}
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements TableService.
func (c *Client) Get(ctx context.Context, key, ifNoneMatch string) (Row, bool, error) {
	header := http.Header{}
	if ifNoneMatch != "" {
		header.Set("If-None-Match", ifNoneMatch)
	}
	resp, err := c.do(ctx, http.MethodGet, PathRows+"/"+escapePath(key), header, nil)
	if err != nil {
		return Row{}, false, err
	}
	switch resp.status {
	case http.StatusNotModified:
		return Row{}, false, nil
	case http.StatusNotFound:
		return Row{Key: key}, ifNoneMatch != "", nil
	case http.StatusOK:
	default:
		return Row{}, false, resp.statusError()
	}
	modified, err := time.Parse(time.RFC3339Nano, resp.header.Get(HeaderModified))
	if err != nil {
		return Row{}, false, fault.Wrap(fault.KindStoreUnavailable, err, "row %s: missing or invalid modification time", key)
	}
	etag := resp.header.Get("ETag")
	if etag == "" {
		return Row{}, false, fault.New(fault.KindStoreUnavailable, "row %s: response has no ETag", key)
	}
	return Row{Key: key, ETag: etag, Value: resp.body, ModifiedAt: modified}, true, nil
}

// List implements TableService.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	err := c.getJSON(ctx, PathRows+"?prefix="+url.QueryEscape(prefix), &rows)
	return rows, err
}

// Commit implements TableService.
func (c *Client) Commit(ctx context.Context, writes []Write) ([]string, error) {
	body, err := json.Marshal(CommitRequest{Writes: writes})
	if err != nil {
		return nil, fault.Wrap(fault.KindBadRequest, err, "cannot encode the transaction")
	}
	resp, err := c.do(ctx, http.MethodPost, PathCommit, nil, body)
	if err != nil {
		return nil, err
	}
	switch {
	case resp.status == http.StatusOK:
	case resp.status == http.StatusPreconditionFailed:
		return nil, fault.New(fault.KindEditConflict, "%s", resp.bodyExcerpt())
	case resp.status >= http.StatusInternalServerError && resp.status != http.StatusServiceUnavailable:
		return nil, fault.New(fault.KindStoreAmbiguous, "platform returned status %d: %s", resp.status, resp.bodyExcerpt())
	default:
		return nil, resp.statusError()
	}
	var committed CommitResponse
	if err := json.Unmarshal(resp.body, &committed); err != nil || len(committed.ETags) != len(writes) {
		return nil, fault.New(fault.KindStoreAmbiguous, "invalid platform response to a transaction, which may have been committed")
	}
	return committed.ETags, nil
}

// response is one complete response of the platform.
type response struct {
	status int
	header http.Header
	body   []byte
}

// bodyExcerpt returns the start of the response body for error messages.
func (r response) bodyExcerpt() string {
	const maxBytes = 200
	s := strings.TrimSpace(string(r.body))
	if len(s) > maxBytes {
		s = s[:maxBytes]
	}
	return s
}

// statusError returns the error for a response whose status means that nothing was
// changed.
func (r response) statusError() error {
	if r.status >= http.StatusBadRequest && r.status < http.StatusInternalServerError &&
		r.status != http.StatusTooManyRequests {
		return fault.New(fault.KindBadRequest, "platform returned status %d: %s", r.status, r.bodyExcerpt())
	}
	return fault.New(fault.KindStoreUnavailable, "platform returned status %d: %s", r.status, r.bodyExcerpt())
}

// readBody reads the response body, at most one byte more than maxResponseBytes. It
// allocates the buffer by Content-Length to avoid growing a large buffer.
func readBody(resp *http.Response) ([]byte, error) {
	var b bytes.Buffer
	if n := resp.ContentLength; n > 0 && n <= maxResponseBytes {
		b.Grow(int(n) + bytes.MinRead)
	}
	_, err := b.ReadFrom(io.LimitReader(resp.Body, maxResponseBytes+1))
	return b.Bytes(), err
}

// do sends one request and reads its complete response. Errors:
// fault.KindStoreAmbiguous if a POST, that is, a transaction, may have reached the
// platform, fault.KindBadRequest if the request can't be built, and otherwise
// fault.KindStoreUnavailable.
func (c *Client) do(ctx context.Context, method, path string, header http.Header, body []byte) (response, error) {
	if ctx.Err() != nil {
		return response{}, fault.Wrap(fault.KindStoreUnavailable, ctx.Err(), "platform request not sent")
	}
	// http.Transport retries a transaction only if nothing of it was written, and
	// each attempt begins with GetConn. A transport that calls neither hook is
	// assumed to have sent the request.
	var dialing atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { dialing.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { dialing.Store(false) },
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return response{}, fault.Wrap(fault.KindBadRequest, err, "cannot build the platform request")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	kind := func() fault.Kind {
		if method == http.MethodPost && !dialing.Load() {
			return fault.KindStoreAmbiguous
		}
		return fault.KindStoreUnavailable
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, fault.Wrap(kind(), err, "platform request failed")
	}
	defer func() { _ = resp.Body.Close() }()
	if !wire.IsValidStatus(resp.StatusCode) {
		return response{}, fault.New(kind(), "the platform's response has the invalid status %q", resp.Status)
	}
	data, err := readBody(resp)
	if err != nil {
		return response{}, fault.Wrap(kind(), err, "cannot read the platform response")
	}
	if len(data) > maxResponseBytes {
		return response{}, fault.New(kind(), "platform response exceeds %d bytes", maxResponseBytes)
	}
	return response{status: resp.StatusCode, header: resp.Header, body: data}, nil
}

// getJSON reads the JSON document at path into v.
func (c *Client) getJSON(ctx context.Context, path string, v any) error {
	resp, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK {
		return resp.statusError()
	}
	if err := json.Unmarshal(resp.body, v); err != nil {
		return fault.Wrap(fault.KindStoreUnavailable, err, "platform response is not valid JSON")
	}
	return nil
}

// escapePath escapes each segment of a key for use in a URL path.
func escapePath(key string) string {
	segments := strings.Split(key, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return strings.Join(segments, "/")
}
