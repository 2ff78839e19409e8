// Package operator is a client of the admin listeners of instances. It reads their
// status and explanations of how they route a request.
package operator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

const (
	// requestTimeout limits one request to one instance.
	requestTimeout = 2 * time.Second
	// maxResponseBytes limits what is read of one response body.
	maxResponseBytes = 16 << 20
	// maxConcurrent limits the number of concurrent requests of StatusOfAll.
	maxConcurrent = 64
)

// Client reads the admin endpoints of instances. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// hasCertificate is true when the client has a TLS configuration, which includes
	// its certificate.
	hasCertificate bool
}

// NewClient returns a Client. config is used for instances that require TLS. If it is
// nil, requests to these instances fail.
func NewClient(config *tls.Config) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second, TLSClientConfig: config}
	return &Client{http: &http.Client{Transport: t}, hasCertificate: config != nil}
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status returns the status of an instance. Errors: fault.KindPeerUnavailable, or
// fault.KindPeerRejected if the instance requires TLS and the client has no
// certificate.
func (c *Client) Status(ctx context.Context, in platform.Instance) (wire.Status, error) {
	var s wire.Status
	err := c.get(ctx, in, wire.PathStatus, nil, &s)
	return s, err
}

// Explain returns an instance's explanation of how it routes the request that q
// describes. Errors: fault.KindUnknownRoute, and those of Status.
func (c *Client) Explain(ctx context.Context, in platform.Instance, q url.Values) (wire.Explanation, error) {
	var e wire.Explanation
	err := c.get(ctx, in, wire.PathExplain, q, &e)
	return e, err
}

// StatusResult is the status of one instance, or why it could not be read.
type StatusResult struct {
	Instance platform.Instance
	Status   wire.Status
	// Err is set when the status could not be read; Status is then invalid.
	Err error
}

// StatusOfAll reads the status of all instances, at most maxConcurrent at once. The
// results are in the order of instances.
func (c *Client) StatusOfAll(ctx context.Context, instances []platform.Instance) []StatusResult {
	m := iter.Mapper[platform.Instance, StatusResult]{MaxGoroutines: maxConcurrent}
	return m.Map(instances, func(in *platform.Instance) StatusResult {
		s, err := c.Status(ctx, *in)
		return StatusResult{Instance: *in, Status: s, Err: err}
	})
}

// get reads the JSON document at path of an instance into out.
func (c *Client) get(ctx context.Context, in platform.Instance, path string, q url.Values, out any) error {
	address, scheme := in.AdminAddress, "http"
	if in.AdminTLS {
		scheme = "https"
		if !c.hasCertificate {
			return fault.New(fault.KindPeerRejected, "instance at %s requires a client certificate; set --tls-certificate, --tls-key and --tls-authority", address)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	u := url.URL{Scheme: scheme, Host: address, Path: path, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return fault.Wrap(fault.KindPeerUnavailable, err, "invalid admin address %q", address)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fault.Wrap(fault.KindPeerUnavailable, err, "request to instance at %s failed", address)
	}
	defer resp.Body.Close()
	if !wire.IsValidStatus(resp.StatusCode) {
		return fault.New(fault.KindPeerUnavailable, "response of instance at %s has the invalid status %q", address, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fault.Wrap(fault.KindPeerUnavailable, err, "response of instance at %s was cut off", address)
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(address, resp.StatusCode, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fault.Wrap(fault.KindPeerUnavailable, err, "response of instance at %s is not valid JSON", address)
	}
	return nil
}

// responseError returns a response with a status other than 200 as an error of the
// kind that its body names, or else fault.KindPeerUnavailable.
func responseError(address string, status int, body []byte) error {
	var b wire.ErrorBody
	if json.Unmarshal(body, &b) == nil {
		if k, ok := fault.KindByName(b.Kind); ok {
			return fault.New(k, "%s", b.Message)
		}
	}
	return fault.New(fault.KindPeerUnavailable, "instance at %s returned status %d", address, status)
}
