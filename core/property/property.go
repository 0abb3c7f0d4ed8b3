// Package property runs property tests with a reproducible seed. It is for tests only.
package property

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// seed is the seed of all property tests, unless the command line sets rapid.seed.
const seed = "20261204"

// Main runs a package's tests with a fixed seed and the given flags, such as rapid.checks. Flags on the command line override
// both. Main exits the process, and panics on an unknown flag.
func Main(m *testing.M, flags map[string]string) {
	setFlag("rapid.seed", seed)
	for name, value := range flags {
		setFlag(name, value)
	}
	os.Exit(m.Run())
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(fmt.Sprintf("property: -%s=%s: %v", name, value, err))
	}
}
