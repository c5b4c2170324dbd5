package diskidentity

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// mapIterations is how often a map of two is gone through, so that both orders come.
const mapIterations = 64

// attestationWithConfig is what a member with a configuration of its own reports.
func attestationWithConfig(id string, index uint64, members ...string) Attestation {
	return attestationFrom(id, func(a *Attestation) { a.ConfigIndex, a.Members, a.Voters = index, members, members })
}

// TestLatestConfiguration: guards against a verdict that depends on the order in which the reports are looked at: the
// latest configuration counts, also against an older one that differs from it.
func TestLatestConfiguration(t *testing.T) {
	withDisk, withoutDisk := []string{"a@1", "b@1", "c@1"}, []string{"b@1", "c@1"}
	for _, c := range []struct {
		name         string
		attestations map[string]Attestation
		want         Verdict
	}{
		{"a member in the latest", attestationsByName(attestationWithConfig("b@1", 9, withoutDisk...), attestationWithConfig("c@1", 11, withDisk...)), VerdictResume},
		{"removed in the latest", attestationsByName(attestationWithConfig("b@1", 9, withDisk...), attestationWithConfig("c@1", 11, withoutDisk...)), VerdictNewIdentity},
		{"two of the same index", attestationsByName(attestationWithConfig("b@1", 9, withDisk...), attestationWithConfig("c@1", 9, withoutDisk...)), VerdictNewIdentity},
	} {
		for range mapIterations {
			got, reason := Decide(voterDisk, c.attestations)
			if !assert.Equal(t, c.want.String(), got.String(), "%s: %s", c.name, reason) {
				break
			}
		}
	}
}
