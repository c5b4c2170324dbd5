package fastcgi

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/transport/eventloop"
)

// TestRequestsOfGoneCallerAreNotSubmitted guards against runs for callers that have left: a caller sends complete
// requests and closes or resets its connection while the event loop is behind, which then reads the requests.
func TestRequestsOfGoneCallerAreNotSubmitted(t *testing.T) {
	for name, leave := range map[string]func(net.Conn){
		"closes":                  func(peer net.Conn) { peer.Close() },
		"closes its sending side": func(peer net.Conn) { peer.(*net.TCPConn).CloseWrite() },
		"resets":                  func(peer net.Conn) { peer.(*net.TCPConn).SetLinger(0); peer.Close() },
		"stays":                   func(net.Conn) {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFrontend(t)
			unblock := f.blockLoop()
			c, peer := f.Connect()
			_, err := peer.Write(append(encodeRecords(1, completeRequestRecords()), encodeRecords(2, completeRequestRecords())...))
			require.NoError(t, err)
			leave(peer)
			require.Eventually(t, c.HasUnhandledInput, 10*time.Second, time.Millisecond)
			unblock()
			if name == "stays" {
				submitted := 0
				require.Eventually(t, func() bool { submitted += len(f.Exchange.Dequeue(nil)); return submitted == 2 }, 10*time.Second, time.Millisecond)
				return
			}
			closed := func() bool { c.Lock(); defer c.Unlock(); return c.RejectsRequests() }
			require.Eventually(t, closed, 10*time.Second, time.Millisecond)
			require.Empty(t, f.Exchange.Dequeue(nil))
		})
	}
}

// blockLoop blocks the event loop until the returned function is called.
func (f *testFrontend) blockLoop() (unblock func()) {
	b := blockingHandler{make(chan struct{}), make(chan struct{})}
	ln, err := f.Loop.Listen("127.0.0.1:0", func(*eventloop.Conn) eventloop.Handler { return b }, func(err error) { f.Error(err) })
	require.NoError(f, err)
	f.Cleanup(func() { ln.Close() })
	blockedPeer, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(f, err)
	f.Cleanup(func() { blockedPeer.Close() })
	_, err = blockedPeer.Write([]byte("x"))
	require.NoError(f, err)
	<-b.started
	unblock = sync.OnceFunc(func() { close(b.unblock) })
	f.Cleanup(unblock)
	return unblock
}
