package slopes

import (
	"errors"
	"io/fs"
	"os"

	"github.com/jacinthramp/jacinthramp/pkg/capacity"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// ReadFile reads the slopes file to be updated. It returns no slopes if name is
// empty or the file does not exist. Error: fault.KindInvalidSettings.
func ReadFile(name string) (capacity.Slopes, error) {
	if name == "" {
		return capacity.Slopes{}, nil
	}
	data, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return capacity.Slopes{}, nil
	}
	if err != nil {
		return nil, fault.Wrap(fault.KindInvalidSettings, err, "cannot read the slopes file")
	}
	return capacity.ParseSlopes(name, data)
}

// WriteFile writes s to the slopes file. Error: fault.KindInvalidSettings.
func WriteFile(name string, s capacity.Slopes) error {
	data, err := s.Format()
	if err == nil {
		err = os.WriteFile(name, data, 0o644)
	}
	if err != nil {
		return fault.Wrap(fault.KindInvalidSettings, err, "cannot write the slopes file")
	}
	return nil
}
