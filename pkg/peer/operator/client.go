// Package operator talks to the admin listeners of instances on behalf of the
// operators: their status, and why a request goes where it goes.
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
	// requestTimeout bounds one request to one instance.
	requestTimeout = 2 * time.Second
	// maxResponseBytes bounds what is read of one answer.
	maxResponseBytes = 16 << 20
	// maxConcurrent bounds the instances that are asked at once.
	maxConcurrent = 64
)

// Client reads the admin endpoints of instances. It may be used from several
// goroutines at once.
type Client struct {
	http *http.Client
	// hasCertificate says that the client has a certificate to show.
	hasCertificate bool
}

// NewClient returns a Client. The configuration is for instances whose entry
// says that they take only TLS; nil means that these can't be asked.
func NewClient(config *tls.Config) *Client {
	t := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second, TLSClientConfig: config}
	return &Client{http: &http.Client{Transport: t}, hasCertificate: config != nil}
}

// Close drops the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status reads the status of an instance of the platform's list. Errors:
// fault.KindPeerUnavailable, fault.KindPeerRejected when it takes only TLS and
// the client has no certificate.
func (c *Client) Status(ctx context.Context, in platform.Instance) (wire.Status, error) {
	var s wire.Status
	err := c.get(ctx, in, wire.PathStatus, nil, &s)
	return s, err
}

// Explain asks an instance why a request goes where it goes. Errors:
// fault.KindUnknownRoute, and those of Status.
func (c *Client) Explain(ctx context.Context, in platform.Instance, q url.Values) (wire.Explanation, error) {
	var e wire.Explanation
	err := c.get(ctx, in, wire.PathExplain, q, &e)
	return e, err
}

// StatusResult is one instance's entry of the platform's list and its answer.
type StatusResult struct {
	Instance platform.Instance
	Status   wire.Status
	// Err is set when the instance did not answer.
	Err error
}

// StatusOfAll asks all instances, a bounded number at once. The reports are
// in the order of the list.
func (c *Client) StatusOfAll(ctx context.Context, instances []platform.Instance) []StatusResult {
	m := iter.Mapper[platform.Instance, StatusResult]{MaxGoroutines: maxConcurrent}
	return m.Map(instances, func(in *platform.Instance) StatusResult {
		s, err := c.Status(ctx, *in)
		return StatusResult{Instance: *in, Status: s, Err: err}
	})
}

// get reads one JSON answer.
func (c *Client) get(ctx context.Context, in platform.Instance, path string, q url.Values, out any) error {
	address, scheme := in.AdminAddress, "http"
	if in.AdminTLS {
		scheme = "https"
		if !c.hasCertificate {
			return fault.New(fault.KindPeerRejected, "instance at %s takes only callers with a certificate; name yours with --tls-certificate, --tls-key and --tls-authority", address)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	u := url.URL{Scheme: scheme, Host: address, Path: path, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return fault.Wrap(fault.KindPeerUnavailable, err, "the admin address %q can't be used", address)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fault.Wrap(fault.KindPeerUnavailable, err, "instance at %s did not answer", address)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fault.Wrap(fault.KindPeerUnavailable, err, "instance at %s broke off its answer", address)
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(address, resp.StatusCode, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fault.Wrap(fault.KindPeerUnavailable, err, "instance at %s answered what can't be read", address)
	}
	return nil
}

// responseError turns an answer that is not 200 into an error of its stated kind.
func responseError(address string, status int, body []byte) error {
	var b wire.ErrorBody
	if json.Unmarshal(body, &b) == nil {
		if k, ok := fault.KindByName(b.Kind); ok {
			return fault.New(k, "%s", b.Message)
		}
	}
	return fault.New(fault.KindPeerUnavailable, "instance at %s answered %d", address, status)
}
