package settings

import (
	"os"
	"strings"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/strictyaml"
)

// Load reads and validates a settings file. Every error has the kind
// fault.KindInvalidSettings.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(fault.KindInvalidSettings, err, "cannot read the settings file")
	}
	return Parse(file, data)
}

// Parse decodes and validates data, the content of a settings file. The file's name
// is only used in error messages. Every error has the kind
// fault.KindInvalidSettings.
func Parse(file string, data []byte) (*Settings, error) {
	s := Default()
	lines, problems := strictyaml.Decode(file, data, &s)
	if len(problems) > 0 {
		texts := make([]string, len(problems))
		for i, p := range problems {
			texts[i] = p.String()
		}
		return nil, fault.New(fault.KindInvalidSettings, "%s", strings.Join(texts, "\n"))
	}
	if p := check(&s); p != nil {
		return nil, p.error(file, max(lines.NearestLine(p.key), 1))
	}
	return &s, nil
}
