package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/daemoncmd"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	standin "github.com/jacinthramp/jacinthramp/pkg/standin/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

const instanceSettings = `instance:
  id: a-1
  zone: osrednja-a
  region: osrednja
listen:
  caller: 127.0.0.1:0
  hop: 127.0.0.1:0
  peer: 127.0.0.1:0
  admin: 127.0.0.1:0
platform:
  url: %s
leave:
  min_lookup_ttl: 20ms
log:
  level: error
`

// acceptTables stores tables with one target as an accepted version.
func acceptTables(t *testing.T, c *platform.Client, address string) {
	t.Helper()
	tables := &table.Tables{
		Routes: []table.Route{{
			Name: "feedlog", PathPrefix: "/feedlog", LookupTTL: table.Duration(20 * time.Millisecond),
			Pools: []table.PoolWeight{{Pool: "feedlog-osrednja", Weight: 1}},
		}},
		Pools: []table.Pool{{
			Name: "feedlog-osrednja", Region: "osrednja",
			Targets: []table.Target{{Name: "t1", Address: address, Zone: "osrednja-a", Slots: 2}},
		}},
		Regions: []table.Region{{Name: "osrednja"}},
	}
	edit := tablestore.Edit{ID: "e1", Author: "test", Tables: tables}
	if _, err := tablestore.Accept(t.Context(), c, c, edit); err != nil {
		t.Fatal(err)
	}
}

// awaitReady waits until the only listed instance is ready and returns its address
// for callers.
func awaitReady(t *testing.T, c *platform.Client) string {
	t.Helper()
	for {
		list, err := c.ListInstances(t.Context())
		if err == nil && len(list) == 1 {
			resp, err := http.Get("http://" + list[0].AdminAddress + wire.PathReady)
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					return list[0].CallerAddress
				}
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestSecondSignalKeepsRequestsInFlight(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/feedlog/slow" {
			return
		}
		close(started)
		<-release
		io.WriteString(w, "whole")
	}))
	defer target.Close()
	store := httptest.NewServer(standin.Handler(standin.New(nil)))
	defer store.Close()
	client := platform.NewClient(store.URL, nil)
	defer client.Close()
	acceptTables(t, client, target.Listener.Addr().String())

	file := filepath.Join(t.TempDir(), "instance.yaml")
	if err := os.WriteFile(file, fmt.Appendf(nil, instanceSettings, store.URL), 0o600); err != nil {
		t.Fatal(err)
	}
	runErr := make(chan error, 1)
	go func() {
		runErr <- daemoncmd.New(openPlatform).Run(context.Background(), []string{"jacinthrampd", "--config", file})
	}()
	address := awaitReady(t, client)
	response := make(chan string, 1)
	go func() {
		resp, err := http.Post("http://"+address+"/feedlog/slow", "", http.NoBody)
		if err != nil {
			response <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		response <- resp.Header.Get(wire.HeaderOutcome) + " " + string(b)
	}()
	select {
	case <-started:
	case got := <-response:
		t.Fatalf("a ready instance responded with %q without the target", got)
	case err := <-runErr:
		t.Fatalf("exited before the request: %v", err)
	}
	for range 2 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	select {
	case err := <-runErr:
		t.Fatalf("exited with a request in flight: %v", err)
	default:
	}
	close(release)
	if got := <-response; got != "completed whole" {
		t.Errorf("response %q", got)
	}
	if err := <-runErr; err != nil {
		t.Errorf("exited with %v", err)
	}
	list, err := client.ListInstances(t.Context())
	if err != nil || len(list) != 0 {
		t.Errorf("list after the exit: %v, %v", list, err)
	}
}
