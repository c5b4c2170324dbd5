package diskidentity

import (
	"fmt"
	"strings"
)

// Reason explains a verdict of Decide to operators.
type Reason struct {
	Text string
	// Replaced lists the voters that can't attest the disk as their own disk was replaced, sorted by voter ID.
	Replaced []ReplacedVoter
}

// ReplacedVoter is a voter whose node answers with a different disk.
type ReplacedVoter struct {
	Voter     string // member ID
	Successor string // member ID of the node's present disk
}

// String returns the text, followed by the replaced voters.
func (r Reason) String() string {
	if len(r.Replaced) == 0 {
		return r.Text
	}
	var list []string
	for _, voter := range r.Replaced {
		list = append(list, fmt.Sprintf("%s can't, as its node has %s now", voter.Voter, voter.Successor))
	}
	return fmt.Sprintf("%s; %s", r.Text, strings.Join(list, "; "))
}
