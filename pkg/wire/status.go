package wire

const (
	minStatus = 100
	maxStatus = 599
)

// IsValidStatus reports whether status is a status code of HTTP (RFC 9110, section 15).
func IsValidStatus(status int) bool { return status >= minStatus && status <= maxStatus }
