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

// soakRecordsService is a stand-in records service that fails some calls and records them all.
type soakRecordsService struct {
	target string
	link   *testrig.Link // the link currently configured

	mu    sync.Mutex
	rng   *rand.Rand
	calls map[string][]soakCall // by trace id
}

// soakCall is the result of one call as the records service saw it.
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

// addLink gives the service another address. Calls in flight continue over the previous one.
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

// drawResult makes one call in forty fail. The caller holds the lock.
func (r *soakRecordsService) drawResult() standin.CallResult {
	if r.rng.IntN(40) > 0 {
		return standin.CallDone
	}
	bad := []standin.CallResult{standin.CallRejected, standin.CallFailed, standin.CallLost}
	return bad[r.rng.IntN(len(bad))]
}
