package config

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the properties; -rapid.seed goes before it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
