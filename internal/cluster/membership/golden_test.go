package membership

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestGoldenStrings guards against a change of the texts that GET /members returns to operators.
func TestGoldenStrings(t *testing.T) {
	for r, text := range map[Role]string{Learner: "learner", Voter: "voter"} {
		assert.Equal(t, text, r.String())
	}
	for k, text := range map[StepKind]string{StepNone: "none", StepPromote: "promote", StepDemote: "demote", StepRemove: "remove", StepTransferLeadership: "transfer leadership to"} {
		assert.Equal(t, text, k.String())
	}
	for text, m := range map[string]Member{"its disk is gone": {DiskLost: true}, "it leaves": {Leaving: true}, "it was down for too long": {}} {
		assert.Equal(t, text, departureReason(m))
	}
}
