package platform

import (
	"context"

	"github.com/jacinthramp/jacinthramp/pkg/standin"
)

// DefaultListen is the default of Settings.Listen.
const DefaultListen = "127.0.0.1:7400"

// Settings configures a stand-in that runs as a separate process.
type Settings struct {
	// Listen is a loopback IP address and port. Default DefaultListen.
	Listen string `yaml:"listen"`
	// Faults are the faults at the start. Default none.
	Faults Faults `yaml:"faults"`
}

// LoadSettings reads the settings from the YAML file at path and validates them.
func LoadSettings(path string) (Settings, error) {
	s := Settings{Listen: DefaultListen}
	if err := standin.LoadSettings(path, &s); err != nil {
		return Settings{}, err
	}
	return s, standin.RequireLoopback(s.Listen)
}

// Run serves the stand-in until ctx is done. It calls started with its listen
// address before it serves requests.
func Run(ctx context.Context, settings Settings, started func(address string)) error {
	ln, err := standin.Listen(settings.Listen)
	if err != nil {
		return err
	}
	store := New(nil)
	store.SetFaults(settings.Faults)
	started(ln.Addr().String())
	return standin.Serve(ctx, ln, Handler(store))
}
