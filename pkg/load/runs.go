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

// readRuns reads the runs that the target stand-ins counted and returns their
// sum. It returns nil if s names neither run logs nor controls.
func readRuns(ctx context.Context, s Settings) (*target.Runs, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	sources, read := s.TargetControls, fetchRuns
	if len(s.RunLogs) > 0 {
		sources, read = s.RunLogs, readRunLog
	}
	if len(sources) == 0 {
		return nil, nil
	}
	total := &target.Runs{}
	for _, source := range sources {
		runs, err := read(ctx, source)
		if err != nil {
			return nil, fault.Wrap(fault.KindPeerUnavailable, err, "cannot read the targets' run counts from %s", source)
		}
		total.Merge(runs)
	}
	return total, nil
}

// fetchRuns reads the runs from the control endpoint at address.
func fetchRuns(ctx context.Context, address string) (target.Runs, error) {
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

// readRunLog reads the runs from the file at path.
func readRunLog(_ context.Context, path string) (target.Runs, error) {
	f, err := os.Open(path)
	if err != nil {
		return target.Runs{}, err
	}
	defer func() { _ = f.Close() }()
	return target.ReadRunLog(f)
}
