package upstream

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// maxKeepAliveSeconds bounds the idle time that is read from a Keep-Alive header field.
const maxKeepAliveSeconds = 24 * 60 * 60

// announcedIdle returns the idle time after which the server closes the connection, from
// the parameter timeout of the Keep-Alive header field (RFC 2068, section 19.7.1.1), in
// whole seconds. It returns zero without a valid one.
func announcedIdle(h http.Header) time.Duration {
	for _, v := range h["Keep-Alive"] {
		for _, parameter := range strings.Split(v, ",") {
			name, text, _ := strings.Cut(textproto.TrimString(parameter), "=")
			if !strings.EqualFold(textproto.TrimString(name), "timeout") {
				continue
			}
			seconds, err := strconv.ParseUint(textproto.TrimString(text), 10, 32)
			if err != nil {
				return 0
			}
			return time.Duration(min(seconds, maxKeepAliveSeconds)) * time.Second
		}
	}
	return 0
}
