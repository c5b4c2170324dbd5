package tests

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// connectIdleClients keeps size clients connected until the test ends; they reconnect whenever they are closed.
// Half of them send nothing, the others one health check.
func connectIdleClients(t *testing.T, addr string, size int) {
	ctx, end := context.WithCancel(context.Background())
	var members sync.WaitGroup
	for i := range size {
		members.Go(func() { runIdleClient(ctx, addr, i%2 == 0) })
	}
	t.Cleanup(func() { end(); members.Wait() })
}

// runIdleClient reconnects whenever the service has closed its connection. It closes its side of the old
// connection only then, so that the connection occupies a descriptor of the service until then.
func runIdleClient(ctx context.Context, addr string, asks bool) {
	var last net.Conn
	for {
		c, err := net.Dial("tcp", addr)
		if last != nil {
			last.Close()
		}
		if last = nil; err == nil {
			last = c
			if asks {
				c.Write(fcgiRequest(1, "/ping", nil, nil))
			}
			stop := context.AfterFunc(ctx, func() { c.Close() })
			io.Copy(io.Discard, c)
			stop()
		}
		select {
		case <-ctx.Done():
			if last != nil {
				last.Close()
			}
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// TestIdleClientsFillDescriptors: clients that keep connecting must not take the descriptors that the service
// needs itself. While the registry is down, a lost engine link and calls each find a descriptor, and requests
// on new connections are served. Reports resume when the registry returns.
func TestIdleClientsFillDescriptors(t *testing.T) {
	t.Parallel()
	const limit = 64
	lookup := freeAddr(t)
	w := newTestbed(t, func(cfg object) {
		delete(cfg, "ajp")
		cfg["lookup"], cfg[testDescriptors] = lookup, limit
		cfg["limits"].(object)["sockets"] = limit
	})
	connectIdleClients(t, w.fcgiAddr, limit)
	openDescriptors := func() int {
		list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.cmd.Process.Pid))
		require.NoError(t, err)
		return len(list)
	}
	most := 0
	for round := range 10 {
		w.engine.mu.Lock()
		attached := countWithPrefix(w.engine.receivedCommands, "ATTACH")
		w.engine.conn.Close()
		w.engine.mu.Unlock()
		await(t, "the engine link to reconnect", func() bool { return w.engine.countReceived("ATTACH") > attached })
		for _, class := range classNames { // each request makes a call; calls of at-most-once classes use a new connection
			// A new connection may be closed in favour of an idle client before its request is read, like any
			// unused connection, and a request that waited long before it was read is rejected. Callers retry
			// both. Any other failure means that there was no descriptor for the call.
			await(t, "a definite response", func() bool {
				a, err := w.sendRequest(class, "call")
				if err == nil && a.status != 503 {
					assert.Equal(t, 200, a.status, "%s in round %d", class, round)
				}
				return err == nil && a.status != 503
			})
		}
		most = max(most, openDescriptors())
	}
	assert.LessOrEqual(t, most, limit)
	assert.NotContains(t, w.log(), "too many open files")

	udp, err := net.ListenPacket("udp", lookup)
	require.NoError(t, err)
	defer udp.Close()
	b := make([]byte, 100)
	require.NoError(t, udp.SetReadDeadline(time.Now().Add(awaitTimeout)))
	n, _, err := udp.ReadFrom(b)
	require.NoError(t, err)
	assert.Equal(t, "PULSE n3 open", string(b[:n]))
	await(t, "a successful health check", func() bool {
		a, err := w.sendFCGI("/ping", nil, "")
		return err == nil && a.status == 200
	})
	w.terminate()
}
