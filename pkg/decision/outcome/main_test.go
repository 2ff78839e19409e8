package outcome

import (
	"testing"

	"github.com/jacinthramp/jacinthramp/test/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, 7411, 400) }
