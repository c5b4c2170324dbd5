package tests

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/standin"
	"oxbowbridge/internal/testrig"
)

// soakRecordsService fails some calls, and notes all.
type soakRecordsService struct {
	target string
	link   *testrig.Link // the one in use

	mu    sync.Mutex
	rng   *rand.Rand
	calls map[string][]soakCall // by trace id
}

// soakCall is how one call ended, at the service.
type soakCall struct {
	result standin.CallResult
	at     time.Time
}

func newSoakRecords(t *testing.T, rng *rand.Rand) *soakRecordsService {
	listener, err := testrig.ListenFree()
	require.NoError(t, err)
	r := &soakRecordsService{target: listener.Addr().String(), rng: rng, calls: map[string][]soakCall{}}
	service := &standin.RecordsService{ReplyDelay: time.Millisecond, ResultFunc: r.draw}
	t.Cleanup(func() { listener.Close() })
	go service.Serve(listener)
	r.addLink(t)
	return r
}

// addLink gives the service another address. Calls in flight go on over the one before.
func (r *soakRecordsService) addLink(t *testing.T) {
	link, err := testrig.NewLink(r.target)
	require.NoError(t, err)
	t.Cleanup(link.Close)
	r.link = link
}

func (r *soakRecordsService) draw(traceID string) standin.CallResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.drawResult()
	r.calls[traceID] = append(r.calls[traceID], soakCall{result, time.Now()})
	return result
}

// drawResult has one call in forty end badly. The lock is held.
func (r *soakRecordsService) drawResult() standin.CallResult {
	if r.rng.IntN(40) > 0 {
		return standin.CallDone
	}
	bad := []standin.CallResult{standin.CallRejected, standin.CallFailed, standin.CallLost}
	return bad[r.rng.IntN(len(bad))]
}
