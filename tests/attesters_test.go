package tests

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"oxbowbridge/internal/cluster/diskidentity"
)

// TestNodesWaitForDiskGivenUp: with vouchers -1 a node whose folder was replaced by an older copy has renewed
// its disk identity, and the two other nodes start. At least one of them must resume. If both wait for an
// attestation by the old disk, which no node can give, no node serves although all three run.
func TestNodesWaitForDiskGivenUp(t *testing.T) {
	t.Parallel()
	voters := []string{"n0@aa", "n1@bb", "n2@cc"}
	mark := diskidentity.Watermark{}
	attest := func(id string) diskidentity.Attestation {
		return diskidentity.Attestation{ID: id, Cluster: "c", ConfigIndex: 1, Members: voters, Voters: voters, LastObserved: &mark}
	}
	renewed := attest("n1@dd") // the disk that was n1@bb before
	waiting := 0
	for id, other := range map[string]string{"n0@aa": "n2@cc", "n2@cc": "n0@aa"} {
		local := diskidentity.LocalDisk{ID: id, Cluster: "c", ConfigIndex: 1, Members: voters, Voters: voters, RequiredAttesters: -1}
		verdict, reason := diskidentity.Decide(local, map[string]diskidentity.Attestation{"n1": renewed, other[:2]: attest(other)})
		if verdict == diskidentity.VerdictWait {
			waiting++
			t.Logf("%s waits: %s", id, reason)
		}
	}
	assert.Less(t, waiting, 2)
}
