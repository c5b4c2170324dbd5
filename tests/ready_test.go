package tests

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// maxReadyTime is the time within which nine of ten restarted processes must be ready (required by the
// operators).
const maxReadyTime = 10 * time.Second

// awaitReadyWithin returns the time until a health check succeeds, and whether that was within the limit.
func (s *service) awaitReadyWithin(most time.Duration) (time.Duration, bool) {
	startedAt := time.Now()
	for time.Since(startedAt) < most {
		if c, err := dialFCGI(s.fcgiAddr); err == nil {
			a, err := c.do("/ping", nil, nil)
			c.Close()
			if err == nil && a.status == 200 {
				return time.Since(startedAt), true
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return 0, false
}

// silentServer accepts connections and neither reads nor writes.
func silentServer(t *testing.T) string {
	return startTCPServer(t, func(c net.Conn) { t.Cleanup(func() { c.Close() }) })
}

// TestReadyAfterRestart kills and restarts services. The engine ignores the first link; the registry, the
// records service, the other store nodes and the SQL mirror are not reachable; and another process still has
// the listen address.
func TestReadyAfterRestart(t *testing.T) {
	t.Parallel()
	const services, withStore = 10, 4
	var all []*service
	var engines []*engineStandin
	for i := range services {
		e := newEngineStandin(t)
		engines = append(engines, e)
		s := startService(t, func(cfg object) {
			cfg["engine"], cfg["records"], cfg["lookup"] = e.addr, freeAddr(t), freeAddr(t)
			if i < withStore {
				cfg["store"] = object{"node": "s1", "dir": t.TempDir(), "peers": []object{
					{"name": "s1", "raft": freeAddr(t), "admin": freeAddr(t)},
					{"name": "s2", "raft": freeAddr(t), "admin": freeAddr(t)},
					{"name": "s3", "raft": silentServer(t), "admin": silentServer(t)},
				}, "sql": object{"driver": "postgres", "dsn": fmt.Sprintf("postgres://u:p@%s/x?sslmode=disable", silentServer(t))}}
			}
		})
		all = append(all, s)
	}
	var wait sync.WaitGroup
	took := make([]time.Duration, services)
	inTime := make([]bool, services)
	for i, s := range all {
		wait.Go(func() {
			s.awaitReadyWithin(awaitTimeout)
			s.Kill()
			engines[i].mu.Lock()
			engines[i].linksToIgnore = 1
			engines[i].mu.Unlock()
			holder, err := net.Listen("tcp", s.fcgiAddr) // stands for a predecessor that is still draining
			if !assert.NoError(t, err) {
				return
			}
			s.startProcess()
			go func() { // closes the address after the service has found it in use
				for !strings.Contains(s.log(), "address in use, retrying") {
					time.Sleep(time.Millisecond)
				}
				holder.Close()
			}()
			took[i], inTime[i] = s.awaitReadyWithin(maxReadyTime)
		})
	}
	wait.Wait()
	t.Log("ready after", took)
	ready := 0
	for _, ok := range inTime {
		if ok {
			ready++
		}
	}
	assert.GreaterOrEqual(t, ready, services*9/10)
}

// TestAddressInUse: binding an address in use is retried for as long as a predecessor may take to exit, then
// fails with a log line that names the address. SIGTERM ends the retries.
func TestAddressInUse(t *testing.T) {
	t.Parallel()
	holder, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer holder.Close()
	withAddressInUse := func(cfg object) {
		cfg["listen"], cfg["engine"], cfg["stop_ms"] = holder.Addr().String(), newEngineStandin(t).addr, 500
	}
	s := startService(t, withAddressInUse)
	await(t, "the first bind attempt", func() bool { return strings.Contains(s.log(), "address in use, retrying") })
	require.NoError(t, s.Signal(syscall.SIGTERM))
	assert.NoError(t, <-s.exit)

	s = startService(t, withAddressInUse)
	assert.EqualError(t, <-s.exit, "exit status 2")
	assert.Contains(t, s.log(), "listen: listen tcp "+holder.Addr().String()+": bind: address already in use")
	assert.Equal(t, 1, strings.Count(s.log(), "address in use, retrying"))
}
