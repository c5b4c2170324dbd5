package agent

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"oxbowbridge/internal/maintenance"
)

// fixedService is a service with a fixed load that ignores StartDrain.
type fixedService struct{ load Load }

func (s fixedService) Load() Load { return s.load }

func (s fixedService) StartDrain() {}

// TestHeartbeatOfLearner guards against a learner that reports itself as a voter: it would count towards the voters
// that stay in service.
func TestHeartbeatOfLearner(t *testing.T) {
	for _, learner := range []bool{false, true} {
		var heartbeat maintenance.Heartbeat
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			json.NewDecoder(r.Body).Decode(&heartbeat)
			w.Write([]byte("null"))
		}))
		defer node.Close()
		a := New(Config{}, "m1", 4, node.Listener.Addr().String(), fixedService{Load{Learner: learner}}, zap.NewNop())
		defer a.Close()
		_, err := a.sendHeartbeat(t.Context())
		require.NoError(t, err)
		require.Equal(t, "m1", heartbeat.Name)
		require.Equal(t, !learner, heartbeat.IsVoter)
	}
}
