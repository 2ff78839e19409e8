package upstream

import (
	"fmt"
	"net/http"

	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// httpMajor is the major version of the protocol on the connections.
const httpMajor = 1

// checkHead returns an error if the head of resp, which http.ReadResponse has accepted,
// is not that of an HTTP/1 response: it accepts statuses from 0 to 999 and any version.
func checkHead(resp *http.Response) error {
	if resp.ProtoMajor != httpMajor {
		return fmt.Errorf("response has version %q instead of HTTP/1", resp.Proto)
	}
	if !wire.IsValidStatus(resp.StatusCode) {
		return fmt.Errorf("response has the invalid status %q", resp.Status)
	}
	return nil
}
