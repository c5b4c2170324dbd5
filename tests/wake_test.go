package tests

import (
	"fmt"
	"testing"
	"time"

	"oxbowbridge/internal/testrig"
)

// TestWakingLeader: a leader that was paused finds its peers' replies to earlier heartbeats when it resumes.
// These must not confirm its leadership for reads that arrived during the pause.
func TestWakingLeader(t *testing.T) {
	t.Parallel()
	w := newLinkedCluster(t)
	slow := testrig.LinkMode{Delay: 40 * time.Millisecond} // so that a heartbeat is always in flight
	late := testrig.LinkMode{Delay: 40 * time.Millisecond, StallResponses: true}
	for round := range 6 {
		leader := w.WaitForLeader()
		w.SetNodeLinks(leader, slow, testrig.LinkMode{})
		w.Put(leader, "note/wake", fmt.Sprint(2*round))
		w.SetLinksOneWay(leader, (leader+1)%3, late) // one peer's reply arrives only after the leader resumes
		time.Sleep(120 * time.Millisecond)
		w.Pause(leader)
		value := fmt.Sprint(2*round + 1)
		wg := w.writeAndQueueReads(t, leader, "note/wake", value)
		w.Resume(leader)
		time.Sleep(time.Duration(5+5*round) * time.Millisecond)
		w.SetLinksOneWay(leader, (leader+1)%3, slow)
		wg.Wait()
		w.HealLinks()
		w.WaitForValue(leader, "note/wake", value)
	}
}
