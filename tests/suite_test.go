package tests

import (
	"maps"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var classNames = []string{"balance-view", "cycle-check", "nom-update", "nom-submit"}

// protocolDialers open caller connections, by protocol; "mixed" alternates between the two.
var protocolDialers = map[string]func(w *service, i int) (protocolClient, error){
	"fastcgi": func(s *service, _ int) (protocolClient, error) { return dialFCGI(s.fcgiAddr) },
	"ajp":     func(s *service, _ int) (protocolClient, error) { return dialAJP(s.ajpAddr) },
	"mixed": func(s *service, i int) (protocolClient, error) {
		if i%2 == 0 {
			return dialFCGI(s.fcgiAddr)
		}
		return dialAJP(s.ajpAddr)
	},
}

// callerGroup sends requests, each on its own connection, and counts their outcomes.
type callerGroup struct {
	w             *testbed
	dial          func(*service, int) (protocolClient, error)
	mu            sync.Mutex
	wg            sync.WaitGroup
	outcomeCounts map[string]int
	sent          int
	clients       []protocolClient
}

func (c *callerGroup) send(class, body string) {
	conn, err := c.dial(c.w.service, c.sent)
	require.NoError(c.w.t, err)
	c.sent++
	c.clients = append(c.clients, conn)
	c.sendOn(conn, class, body)
}

// sendOn sends a request on an open connection.
func (c *callerGroup) sendOn(cl protocolClient, class, body string) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		trace := newTraceID()
		a, err := cl.do("/call/"+class, requestHeaders(trace), []byte(body))
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case err != nil:
			c.outcomeCounts["lost"]++
		case a.status == 200 && strings.HasSuffix(a.body, trace):
			c.outcomeCounts["served"]++
		case a.status == 200:
			c.outcomeCounts["wrong"]++
		case a.status == 503:
			c.outcomeCounts["refused"]++
		default:
			c.outcomeCounts["failed"]++
		}
	}()
}

func (c *callerGroup) outcomes() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.outcomeCounts)
}

func (c *callerGroup) awaitOutcomes(n int) {
	await(c.w.t, "answers", func() bool {
		sum := 0
		for _, k := range c.outcomes() {
			sum += k
		}
		return sum == n
	})
}

// TestSuite checks in each protocol every way in which requests end, mixed traffic at 110% of the capacity, and
// a drain under load.
func TestSuite(t *testing.T) {
	for name, dial := range protocolDialers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t, nil)
			c := &callerGroup{w: w, dial: dial, outcomeCounts: map[string]int{}}
			for _, body := range []string{"ok", "error", "call"} {
				for _, class := range classNames {
					c.send(class, body)
				}
			}
			c.awaitOutcomes(12)
			w.records.setReply("ERROR")
			c.send("nom-submit", "call")
			c.awaitOutcomes(13)
			w.records.setReply("WAIT")
			c.send("nom-submit", "call")
			c.awaitOutcomes(14)
			c.send("cycle-check", "silence") // never completes; ends at its deadline
			c.awaitOutcomes(15)
			assert.Equal(t, map[string]int{"served": 8, "failed": 7}, c.outcomes())
			firstHeld := len(c.clients)
			for i := range 22 { // the capacity is 20
				c.send([]string{"balance-view", "nom-update", "nom-submit"}[i%3], "hold")
				await(t, "a run or a rejection", func() bool { return w.engine.heldRuns()+c.outcomes()["refused"] == i+1 })
			}
			assert.Equal(t, map[string]int{"served": 8, "failed": 7, "refused": 2}, c.outcomes())
			require.NoError(t, w.cmd.Process.Signal(syscall.SIGTERM))
			w.awaitDrainStarted()
			drainStartedAt := time.Now()
			w.engine.releaseHeld()
			c.awaitOutcomes(37)
			for _, cl := range c.clients[firstHeld : firstHeld+10] { // within the drain grace period: they still run
				c.sendOn(cl, "nom-submit", "ok")
			}
			c.awaitOutcomes(47)
			c.send("nom-submit", "ok") // on a new connection, as from a balancer that does not know of the drain yet
			c.awaitOutcomes(48)
			assert.Equal(t, map[string]int{"served": 39, "failed": 7, "refused": 2}, c.outcomes())
			for _, cl := range c.clients[firstHeld : firstHeld+4] { // requests still running when the listeners close; each must get a response
				c.sendOn(cl, "nom-submit", "hold")
			}
			await(t, "four held runs", func() bool { return w.engine.heldRuns() == 4 })
			time.Sleep(time.Until(drainStartedAt.Add(2600 * time.Millisecond))) // after the drain grace period
			await(t, "the listener to close", func() bool {
				cl, err := net.Dial("tcp", w.fcgiAddr)
				if err == nil {
					cl.Close()
				}
				return err != nil
			})
			w.engine.releaseHeld()
			c.awaitOutcomes(52)
			w.requireCleanExit()
			assert.Equal(t, map[string]int{"served": 43, "failed": 7, "refused": 2}, c.outcomes())
			for trace, n := range w.engine.runCounts {
				assert.Equal(t, 1, n, "runs of %s", trace)
			}
		})
	}
}
