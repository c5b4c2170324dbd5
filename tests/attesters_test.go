package tests

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"oxbowbridge/internal/cluster/diskidentity"
)

// TestNodesWaitForDiskGivenUp: with vouchers -1 a node whose folder was brought back older has given
// its disk up and joins anew, and the two others start. One of them at least must go on: if both wait
// for word of the old disk, which nobody can give any more, nobody serves though all three are there.
func TestNodesWaitForDiskGivenUp(t *testing.T) {
	t.Parallel()
	voters := []string{"n0@aa", "n1@bb", "n2@cc"}
	mark := diskidentity.Watermark{}
	attest := func(id string) diskidentity.Attestation {
		return diskidentity.Attestation{ID: id, Cluster: "c", ConfigIndex: 1, Members: voters, Voters: voters, LastObserved: &mark}
	}
	renewed := attest("n1@dd") // the disk that was n1@bb
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
