package config

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the default seed of the property tests; the flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
