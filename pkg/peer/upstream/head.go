package upstream

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// httpMajor is the major version of the protocol on the connections.
const httpMajor = 1

// checkHead returns an error if the head of resp, which http.ReadResponse has accepted,
// is not that of an HTTP/1 response: it accepts statuses from 0 to 999, any version, and
// spaces in the names of fields.
func checkHead(resp *http.Response) error {
	if resp.ProtoMajor != httpMajor {
		return fmt.Errorf("response has version %q instead of HTTP/1", resp.Proto)
	}
	if !wire.IsValidStatus(resp.StatusCode) {
		return fmt.Errorf("response has the invalid status %q", resp.Status)
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("response has the invalid field name %q", name)
		}
	}
	return nil
}
