package wire

import "net/http"

const (
	minStatus = 100
	maxStatus = 599
)

// IsValidStatus reports whether status is a status code of HTTP (RFC 9110, section 15).
func IsValidStatus(status int) bool { return status >= minStatus && status <= maxStatus }

// IsRefusalStatus reports whether status tells callers that the request did not run, under
// Dialect.RefusalStatuses.
func IsRefusalStatus(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
