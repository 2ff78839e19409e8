package caller

import (
	"net/http"
	"strings"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// ReadKey returns the digest of the key in the field Authorization under the scheme, or ""
// if there is no field or one with another scheme. The error, of kind fault.KindBadRequest,
// says what is wrong with a field that can't be read and repeats nothing of it.
func ReadKey(h http.Header, scheme string) (table.KeyDigest, error) {
	values := h[wire.HeaderAuthorization]
	switch {
	case len(values) == 0:
		return "", nil
	case len(values) > 1:
		return "", fault.New(fault.KindBadRequest, "a request must have one header field %s", wire.HeaderAuthorization)
	}
	given, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(given, scheme) {
		return "", nil
	}
	key = strings.Trim(key, " ")
	if !table.IsValidKey(key) {
		return "", fault.New(fault.KindBadRequest, "header %s must be %q and a key of 1 to %d visible ASCII characters", wire.HeaderAuthorization, scheme, table.MaxKeyBytes)
	}
	return table.DigestKey(key), nil
}
