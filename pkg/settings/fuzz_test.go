package settings

import (
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// FuzzParse checks that Parse either accepts a file with arbitrary content or
// returns an error of kind fault.KindInvalidSettings.
func FuzzParse(f *testing.F) {
	f.Add([]byte("instance:\n  id: a\n  zone: a-1\n  region: a\nplatform:\n  url: http://127.0.0.1:1\n"))
	f.Add([]byte("instance: [a, &x b, *x]\nleave: {limit: -1s}\n"))
	f.Add([]byte("\x00\xff: {"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("settings.yaml", data)
		if err == nil && s == nil || err != nil && fault.KindOf(err) != fault.KindInvalidSettings {
			t.Errorf("Parse returned settings %v and error %v", s, err)
		}
	})
}
