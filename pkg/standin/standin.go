// Package standin holds the parts that the stand-ins (simulations) of the
// platform and of the targets share: strict settings files and an HTTP server
// on a loopback address. Stand-ins are for demos, trials and tests and have no
// persistent state.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/strictyaml"
)

// shutdownTimeout limits the wait for requests in flight when a stand-in stops.
const shutdownTimeout = 10 * time.Second

// LoadSettings reads the YAML file at path into v. It returns an error of kind
// fault.KindInvalidSettings if it cannot read the file, or with the file, line and
// key of each unknown key and each value of the wrong type.
func LoadSettings(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fault.Wrap(fault.KindInvalidSettings, err, "cannot read the settings file")
	}
	_, problems := strictyaml.Decode(path, data, v)
	if len(problems) == 0 {
		return nil
	}
	texts := make([]string, len(problems))
	for i, p := range problems {
		texts[i] = p.String()
	}
	return fault.New(fault.KindInvalidSettings, "%s", strings.Join(texts, "\n"))
}

// Listen opens a TCP listener on a loopback address such as "127.0.0.1:7400". It
// returns an error of kind fault.KindInvalidSettings for any other address, or if
// it cannot listen.
func Listen(address string) (net.Listener, error) {
	if err := RequireLoopback(address); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.KindInvalidSettings, err, "cannot listen on %s", address)
	}
	return ln, nil
}

// RequireLoopback returns an error of kind fault.KindInvalidSettings unless address
// is a loopback IP address and port.
func RequireLoopback(address string) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return fault.Wrap(fault.KindInvalidSettings, err, "address %q is not an IP address and port such as 127.0.0.1:7400", address)
	}
	if !ap.Addr().IsLoopback() {
		return fault.New(fault.KindInvalidSettings, "address %s is not a loopback address such as 127.0.0.1", address)
	}
	return nil
}

// Serve serves h on ln until ctx is done, then waits for requests in flight, for
// shutdownTimeout at most.
func Serve(ctx context.Context, ln net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	shutdownResult := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		shutdownResult <- srv.Shutdown(shutdownCtx)
	})
	defer stop()
	err := srv.Serve(ln)
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-shutdownResult
}

// WriteJSON writes a response with the given status and v as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
