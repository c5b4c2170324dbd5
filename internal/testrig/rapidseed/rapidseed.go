// Package rapidseed makes property tests with rapid deterministic: they use a fixed seed by default.
package rapidseed

import (
	"flag"
	"os"
	"testing"
)

const (
	seedFlag  = "rapid.seed"
	fixedSeed = "20261201"
)

// RunTests runs the tests of a package with a fixed seed, as SetDefault sets it, and exits. It is called by the TestMain of
// a package that uses rapid.
func RunTests(m *testing.M) {
	flag.Parse()
	SetDefault()
	os.Exit(m.Run())
}

// SetDefault sets the flag -rapid.seed to a fixed seed unless a seed was given on the command line. It is called after the
// flags are parsed.
func SetDefault() {
	if seed := flag.Lookup(seedFlag); seed.Value.String() == seed.DefValue {
		flag.Set(seedFlag, fixedSeed)
	}
}
