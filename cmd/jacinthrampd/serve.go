package main

import (
	"context"
	"crypto/tls"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/daemon"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
	"github.com/jacinthramp/jacinthramp/pkg/telemetry"
)

// serve runs one instance until ctx ends and it has left.
func serve(ctx context.Context, s *settings.Settings) error {
	log, err := telemetry.NewLogger(s.Log.Level)
	if err != nil {
		return err
	}
	// The HTTP library writes to the standard log when a target misbehaves.
	if _, err := zap.RedirectStdLogAt(log, zap.DebugLevel); err != nil {
		return err
	}
	identity, err := daemon.LoadIdentity(s.TLS)
	if err != nil {
		return err
	}
	var config *tls.Config
	if identity != nil {
		config = identity.NamedTLS()
	}
	client := platform.NewTLSClient(s.Platform.URL, config)
	defer client.Close()
	d, err := daemon.New(s, client, log)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
