package upstream

import (
	"net/http"
	"net/netip"
	"net/url"
	"strings"
)

// NewRequest returns the request that forwards in to address: the same method,
// path, query, host and end-to-end header and trailer fields, except those for which skip
// returns true.
func NewRequest(in *http.Request, address string, body *Body, skip func(field string) bool) *http.Request {
	bodyReader, trailer := body.newReaderWithTrailer(in.Trailer, skip)
	out := &http.Request{
		Method: in.Method,
		URL: &url.URL{
			Scheme:     "http",
			Host:       address,
			Path:       in.URL.Path,
			RawPath:    in.URL.RawPath,
			RawQuery:   in.URL.RawQuery,
			ForceQuery: in.URL.ForceQuery,
		},
		Host:          in.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        make(http.Header, len(in.Header)+4),
		Body:          bodyReader,
		ContentLength: body.Length(),
		Trailer:       trailer,
	}
	if strings.HasPrefix(in.RequestURI, "/") && !strings.HasPrefix(in.RequestURI, "//") {
		// The path is forwarded as received, without changing how it is escaped.
		out.URL.Opaque, out.URL.RawQuery, out.URL.ForceQuery = in.RequestURI, "", false
	}
	CopyHeader(out.Header, in.Header, skip)
	if acceptsTrailers(in.Header) {
		out.Header["Te"] = []string{"trailers"}
	}
	// The body is sent without waiting for 100 Continue. The caller receives
	// 100 Continue when its body is first read.
	delete(out.Header, "Expect")
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = []string{""}
	}
	addForwardingHeaders(out.Header, in)
	return out
}

// viaValue is added to the Via header field (RFC 9110, section 7.6.3).
const viaValue = "1.1 jacinthramp"

// addForwardingHeaders adds Via and X-Forwarded-For for the request in to h.
func addForwardingHeaders(h http.Header, in *http.Request) {
	h["Via"] = append(h["Via"], viaValue)
	if remote, err := netip.ParseAddrPort(in.RemoteAddr); err == nil {
		h["X-Forwarded-For"] = append(h["X-Forwarded-For"], remote.Addr().String())
	}
}
