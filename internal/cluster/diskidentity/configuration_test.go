package diskidentity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// mapIterations is the number of repetitions with a map of two entries, enough for both iteration orders to occur.
const mapIterations = 64

// attestationWithConfig returns the attestation of a member with its own configuration, in which all members vote.
func attestationWithConfig(id string, index uint64, members ...string) Attestation {
	return attestationFrom(id, func(a *Attestation) { a.ConfigIndex, a.Members, a.Voters = index, members, members })
}

// TestLatestConfiguration guards against a verdict that depends on the iteration order of the attestations. The latest
// configuration decides, also if an older one differs from it.
func TestLatestConfiguration(t *testing.T) {
	withDisk, withoutDisk := []string{"a@1", "b@1", "c@1"}, []string{"b@1", "c@1"}
	for _, c := range []struct {
		name         string
		attestations map[string]Attestation
		want         Verdict
	}{
		{"member in the latest configuration", attestationsByName(attestationWithConfig("b@1", 9, withoutDisk...), attestationWithConfig("c@1", 11, withDisk...)), VerdictResume},
		{"removed in the latest configuration", attestationsByName(attestationWithConfig("b@1", 9, withDisk...), attestationWithConfig("c@1", 11, withoutDisk...)), VerdictNewIdentity},
		{"two configurations with the same index", attestationsByName(attestationWithConfig("b@1", 9, withDisk...), attestationWithConfig("c@1", 9, withoutDisk...)), VerdictNewIdentity},
	} {
		for range mapIterations {
			got, reason := Decide(voterDisk, c.attestations)
			if !assert.Equal(t, c.want.String(), got.String(), "%s: %s", c.name, reason) {
				break
			}
		}
	}
}
