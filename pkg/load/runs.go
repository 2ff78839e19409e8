package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/standin/target"
)

// readRuns reads and adds up the runs that target stand-ins counted. Without
// anything to read from it returns nil.
func readRuns(ctx context.Context, s Settings) (*target.Runs, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultDeadline)
	defer cancel()
	sources, read := s.TargetControls, readControl
	if len(s.RunLogs) > 0 {
		sources, read = s.RunLogs, readLog
	}
	if len(sources) == 0 {
		return nil, nil
	}
	total := &target.Runs{}
	for _, source := range sources {
		runs, err := read(ctx, source)
		if err != nil {
			return nil, fault.Wrap(fault.KindPeerUnavailable, err, "reading the counted runs from %s", source)
		}
		total.Merge(runs)
	}
	return total, nil
}

// readControl reads the runs from the controls at address.
func readControl(ctx context.Context, address string) (target.Runs, error) {
	var runs target.Runs
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+target.PathRuns, nil)
	if err != nil {
		return runs, err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return runs, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return runs, fmt.Errorf("status %d", resp.StatusCode)
	}
	return runs, json.NewDecoder(resp.Body).Decode(&runs)
}

// readLog reads the runs from a file.
func readLog(_ context.Context, path string) (target.Runs, error) {
	f, err := os.Open(path)
	if err != nil {
		return target.Runs{}, err
	}
	defer func() { _ = f.Close() }()
	return target.ReadRunLog(f)
}
