package tests

import (
	"bufio"
	"fmt"
	"math"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/proxy/slowstart"
)

// sharedUpstream is an AJP server that many services use. It records how many runs it has, and can be stopped
// and started again at its address.
type sharedUpstream struct {
	t           *testing.T
	addr        string
	runDuration time.Duration // duration of each run

	mu              sync.Mutex
	ln              net.Listener
	conns           map[net.Conn]bool
	running         int
	runCountChanges []runCountChange // changes since the latest start
	completedRuns   int
}

// runCountChange is the number of runs from a time on.
type runCountChange struct {
	at   time.Time
	runs int
}

func (u *sharedUpstream) start() {
	ln, err := net.Listen("tcp", u.addr)
	require.NoError(u.t, err)
	u.mu.Lock()
	u.ln, u.conns, u.running, u.completedRuns = ln, map[net.Conn]bool{}, 0, 0
	u.runCountChanges = []runCountChange{{time.Now(), 0}}
	u.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			ended := u.conns == nil // stopped since Accept returned
			if !ended {
				u.conns[c] = true
			}
			u.mu.Unlock()
			if ended {
				c.Close()
				return
			}
			go u.serve(c)
		}
	}()
}

// stop closes the listener and all connections.
func (u *sharedUpstream) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ln.Close()
	for c := range u.conns {
		c.Close()
	}
	u.conns = nil
}

// addRuns records the start or the end of a run, unless its connection is from before the latest start.
func (u *sharedUpstream) addRuns(c net.Conn, by int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.conns[c] {
		return
	}
	u.running += by
	if by < 0 {
		u.completedRuns++
	}
	u.runCountChanges = append(u.runCountChanges, runCountChange{time.Now(), u.running})
}

func (u *sharedUpstream) serve(raw net.Conn) {
	defer raw.Close()
	c := &ajpConn{Conn: raw, r: bufio.NewReader(raw)}
	for {
		p, err := c.readPacket()
		if err != nil {
			return
		}
		if p[0] == 10 { // type CPING
			c.Write(ajpPacket("AB", []byte{9}))
			continue
		}
		if _, err := c.readPacket(); err != nil { // the packet with the body
			return
		}
		u.addRuns(raw, 1)
		time.Sleep(u.runDuration)
		u.addRuns(raw, -1)
		c.Write(ajpPacket("AB", append(appendAJPString([]byte{4, 0, 200}, "OK"), 0, 0)))
		c.Write(ajpPacket("AB", []byte{3, 0, 2, 'o', 'k', 0}))
		c.Write(ajpPacket("AB", []byte{5, 1}))
	}
}

// maxExcess returns the largest excess of the mean number of runs in a window over the allowed number, and the
// mean since the start.
func (u *sharedUpstream) maxExcess(window time.Duration, allowed func(age time.Duration) float64) (excess, mean float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	startedAt := u.runCountChanges[0].at
	excess = math.Inf(-1)
	for i, end := range u.runCountChanges {
		from, sum := end.at.Add(-window), 0.0
		for j := i; j > 0; j-- {
			begin := u.runCountChanges[j-1].at
			if begin.Before(from) {
				begin = from
			}
			sum += u.runCountChanges[j].at.Sub(begin).Seconds() * float64(u.runCountChanges[j-1].runs)
			if u.runCountChanges[j-1].at.Before(from) {
				break
			}
		}
		mean := sum / window.Seconds()
		excess = max(excess, mean-allowed(end.at.Sub(startedAt)))
	}
	last := u.runCountChanges[len(u.runCountChanges)-1].at.Sub(startedAt).Seconds()
	for i := 1; i < len(u.runCountChanges); i++ {
		mean += u.runCountChanges[i].at.Sub(u.runCountChanges[i-1].at).Seconds() * float64(u.runCountChanges[i-1].runs) / last
	}
	return excess, mean
}

// TestColdServerUnderThirty: thirty services under load share an upstream that restarts. Their runs there
// together must stay within the slow start limit plus a random excess of twice its square root and two,
// although each service knows only how many others there are.
func TestColdServerUnderThirty(t *testing.T) {
	const services, callers = 30, 3
	limits := slowstart.Config{Cores: 2, MaxRunsPerCore: 8, MinSpeed: 0.2, Duration: 5 * time.Second, AveragingWindow: time.Second, Processes: services}
	u := &sharedUpstream{t: t, addr: freeAddr(t), runDuration: 100 * time.Millisecond}
	u.start()
	t.Cleanup(u.stop)
	var all []*service
	for i := range services {
		all = append(all, startService(t, func(cfg object) {
			cfg["name"], cfg["seed"] = fmt.Sprint("n", i), fmt.Sprintf("%x", 1000+i)
			cfg["ajp"] = object{"upstreams": []string{u.addr}}
			cfg["settings"].(object)["servers"] = services
			cfg["settings"].(object)["family_info"].(object)["cores"] = limits.Cores
			safety := cfg["settings"].(object)["safety"].(object)
			safety["cold_ns"], safety["cold_share"] = limits.Duration, limits.MinSpeed
			safety["fall_ns"], safety["fall_multiple"] = limits.AveragingWindow, limits.MaxRunsPerCore
		}))
	}
	var ended atomic.Bool
	var load sync.WaitGroup
	for _, s := range all {
		s.awaitReady()
		for range callers {
			load.Go(func() {
				for !ended.Load() {
					if c, err := dialFCGI(s.fcgiAddr); err == nil {
						c.do("/call/balance-view", requestHeaders(newTraceID()), []byte("ok"))
						c.Close()
					}
				}
			})
		}
	}
	t.Cleanup(func() { ended.Store(true); load.Wait() })
	await(t, "requests to complete", func() bool { u.mu.Lock(); defer u.mu.Unlock(); return u.completedRuns > 10*services })
	u.stop()
	for _, s := range all {
		await(t, "a failed connection to the upstream", func() bool { return strings.Contains(s.log(), "upstream not reached") })
	}
	u.start()
	await(t, "the end of the slow start", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return time.Since(u.runCountChanges[0].at) > limits.Duration
	})
	excess, mean := u.maxExcess(limits.AveragingWindow, func(age time.Duration) float64 {
		n := limits.MaxRuns(age)
		return n + 2*math.Sqrt(n) + 2
	})
	t.Logf("mean of runs while cold %.1f, largest excess over the bound %.1f", mean, excess)
	assert.LessOrEqual(t, excess, 0.0)
	assert.Greater(t, mean, limits.MaxRuns(0)/2, "the upstream gets runs during its slow start")
}
