package storeadmin

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/maintenance"
)

// TestDeletedHeartbeatRemovesMachine checks that an operator can remove a permanently lost machine by deleting its
// heartbeat. The machine would otherwise count as out forever.
func TestDeletedHeartbeatRemovesMachine(t *testing.T) {
	leader, follower := openTwoNodes(t)
	heartbeat := maintenance.Heartbeat{IntervalMS: 1000, Sequence: 1}
	heartbeat.Name = "gone"
	_, err := leader.controller.RecordHeartbeat(t.Context(), heartbeat)
	require.NoError(t, err)
	_, err = leader.controller.Submit(t.Context(), maintenance.Order{Machine: "m1", DurationMS: 1000})
	require.NoError(t, err)
	require.Len(t, awaitStatus(t, leader).Machines, 1)
	url := "http://" + follower.store.AdminAddress() + "/store/state/work/gone" // like "store delete state/work/gone"
	request, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, url, nil)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusNoContent, response.StatusCode)
	require.Empty(t, awaitStatus(t, leader).Machines)
}
