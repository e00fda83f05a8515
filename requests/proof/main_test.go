package proof

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of checks of the randomised tests, so
// that their runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
