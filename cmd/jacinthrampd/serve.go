package main

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/node"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/settings"
)

// message returns the text of err without its kind's prefix being repeated.
func message(err error) string { return err.Error() }

// serve runs one instance until ctx ends and it has left.
func serve(ctx context.Context, s *settings.Settings) error {
	log, err := newLogger(s.Log.Level)
	if err != nil {
		return err
	}
	ls, err := listen(s)
	if err != nil {
		return err
	}
	self := platform.Instance{
		ID:            s.Instance.ID,
		Zone:          s.Instance.Zone,
		Region:        s.Instance.Region,
		Incarnation:   newIncarnation(),
		CallerAddress: ls.Caller.Addr().String(),
		HopAddress:    ls.Hop.Addr().String(),
		PeerAddress:   s.Listen.Peer,
		AdminAddress:  ls.Admin.Addr().String(),
	}
	client := platform.NewClient(s.Platform.URL, nil)
	defer client.Close()
	n := node.New(node.Config{
		Settings:  s,
		Self:      self,
		Listeners: ls,
		Cluster:   node.NewPoller(client, client, client, self, s.Platform.PollInterval.Std(), s.Platform.Timeout.Std()),
		Log:       log.With(zap.String("instance", self.ID)),
		Seed:      rand.Uint64(),
	})
	return n.Run(ctx)
}

// newIncarnation returns a value that no earlier start of the instance had:
// the time in nanoseconds and random bits, in letters and digits.
func newIncarnation() string {
	return strconv.FormatInt(time.Now().UnixNano(), 36) + strconv.FormatUint(uint64(rand.Uint32()), 36)
}

// listen opens the listeners.
func listen(s *settings.Settings) (node.Listeners, error) {
	var ls node.Listeners
	for _, l := range []struct {
		key, address string
		place        *net.Listener
	}{
		{"listen.caller", s.Listen.Caller, &ls.Caller},
		{"listen.hop", s.Listen.Hop, &ls.Hop},
		{"listen.admin", s.Listen.Admin, &ls.Admin},
	} {
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			return ls, fault.Wrap(fault.KindInvalidSettings, err, "%s: can't listen on %s", l.key, l.address)
		}
		*l.place = ln
	}
	return ls, nil
}

// newLogger returns a structured log on standard error.
func newLogger(level string) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	if err := c.Level.UnmarshalText([]byte(level)); err != nil {
		return nil, fault.Wrap(fault.KindInvalidSettings, err, "log.level")
	}
	return c.Build()
}
