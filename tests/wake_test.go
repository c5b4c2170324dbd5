package tests

import (
	"fmt"
	"testing"
	"time"

	"oxbowbridge/internal/testrig"
)

// TestWakingLeader: a leader that stood still finds, on waking up, answers of its peers to
// what it had sent before. They don't count for reads that came meanwhile.
func TestWakingLeader(t *testing.T) {
	t.Parallel()
	w := newLinkedCluster(t)
	slow := testrig.LinkMode{Delay: 40 * time.Millisecond} // there is always a heartbeat on its way
	late := testrig.LinkMode{Delay: 40 * time.Millisecond, StallResponses: true}
	for round := range 6 {
		lead := w.WaitForLeader()
		w.SetNodeLinks(lead, slow, testrig.LinkMode{})
		w.Put(lead, "note/wake", fmt.Sprint(2*round))
		w.SetLinksOneWay(lead, (lead+1)%3, late) // one peer's answer comes only once the leader is awake
		time.Sleep(120 * time.Millisecond)
		w.Pause(lead)
		value := fmt.Sprint(2*round + 1)
		wg := w.writeAndQueueReads(t, lead, "note/wake", value)
		w.Resume(lead)
		time.Sleep(time.Duration(5+5*round) * time.Millisecond)
		w.SetLinksOneWay(lead, (lead+1)%3, slow)
		wg.Wait()
		w.HealLinks()
		w.WaitForValue(lead, "note/wake", value)
	}
}
