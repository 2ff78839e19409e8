package main

import (
	"crypto/tls"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/daemon"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
)

// openPlatform returns the adapter for the native platform, with TLS if the
// settings configure it, and a function that closes its connections.
func openPlatform(s *settings.Settings, _ *zap.Logger) (daemon.Adapter, func(), error) {
	identity, err := daemon.LoadIdentity(s.TLS)
	if err != nil {
		return daemon.Adapter{}, nil, err
	}
	var config *tls.Config
	if identity != nil {
		config = identity.HostnameTLS()
	}
	client := platform.NewTLSClient(s.Platform.URL, config)
	return daemon.Adapter{Instances: client, Tables: client, Objects: client}, client.Close, nil
}
