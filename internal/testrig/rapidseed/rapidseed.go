// Package rapidseed makes property tests with rapid deterministic: they use a fixed seed by default.
package rapidseed

import "flag"

const (
	seedFlag  = "rapid.seed"
	fixedSeed = "20261201"
)

// SetDefault sets the flag -rapid.seed to a fixed seed unless a seed was given on the command line. Call it
// in TestMain of a package that uses rapid, after the flags are parsed.
func SetDefault() {
	if seed := flag.Lookup(seedFlag); seed.Value.String() == seed.DefValue {
		flag.Set(seedFlag, fixedSeed)
	}
}
