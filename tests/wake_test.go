package tests

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/rig"
	"oxbowbridge/internal/storeclient"
)

// TestWakingLeader: a leader that stood still finds, on waking up, answers of its peers to
// what it had sent before. They don't count for reads that came meanwhile.
func TestWakingLeader(t *testing.T) {
	t.Parallel()
	w := newWired(t)
	slow := rig.Mode{Delay: 40 * time.Millisecond} // there is always a heartbeat on its way
	late := rig.Mode{Delay: 40 * time.Millisecond, Back: true}
	for round := range 6 {
		lead := w.Leader()
		w.Around(lead, slow, rig.Mode{})
		w.Put(lead, "note/wake", fmt.Sprint(2*round))
		w.From(lead, (lead+1)%3, late) // one peer's answer comes only once the leader is awake
		time.Sleep(120 * time.Millisecond)
		w.Stop(lead)
		others := storeclient.New([]string{w.Peers[(lead+1)%3].Admin, w.Peers[(lead+2)%3].Admin})
		value := fmt.Sprint(2*round + 1)
		_, err := others.Put(t.Context(), "note/wake", json.RawMessage(value), nil)
		require.NoError(t, err)
		var wg sync.WaitGroup
		for range 20 {
			conn, err := net.Dial("tcp", w.Peers[lead].Admin)
			require.NoError(t, err)
			fmt.Fprint(conn, "GET /store/note/wake HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			wg.Go(func() {
				defer conn.Close()
				text, _ := io.ReadAll(conn)
				if strings.HasPrefix(string(text), "HTTP/1.1 200") {
					assert.True(t, strings.HasSuffix(strings.TrimSpace(string(text)), "\n"+value), "round %d: %s", round, text)
				}
			})
		}
		w.Continue(lead)
		time.Sleep(time.Duration(5+5*round) * time.Millisecond)
		w.From(lead, (lead+1)%3, slow)
		wg.Wait()
		w.Heal()
		w.Has(lead, "note/wake", value)
	}
}
