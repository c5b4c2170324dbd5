package tests

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/storeclient"
)

// wire is one way on which one node calls another: it can be cut, stalled in either
// direction with its connections half open, slowed, and healed.
type wire struct {
	to    string
	addr  string
	mu    sync.Mutex
	moved *sync.Cond
	mode  wireMode
	conns map[net.Conn]bool
}

type wireMode struct {
	cut       bool // connections are reset, and refused
	out, back bool // bytes that way are held
	delay     time.Duration
}

func newWire(t *testing.T, to string) *wire {
	w := &wire{to: to, conns: map[net.Conn]bool{}}
	w.moved = sync.NewCond(&w.mu)
	w.addr = server(t, w.serve)
	t.Cleanup(func() { w.set(wireMode{cut: true}) })
	return w
}

func (w *wire) set(m wireMode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mode = m
	w.moved.Broadcast()
	if m.cut {
		for c := range w.conns {
			c.Close()
		}
	}
}

func (w *wire) serve(from net.Conn) {
	to, err := net.DialTimeout("tcp", w.to, time.Second)
	w.mu.Lock()
	if err != nil || w.mode.cut {
		w.mu.Unlock()
		from.(*net.TCPConn).SetLinger(0)
		from.Close()
		if err == nil {
			to.Close()
		}
		return
	}
	w.conns[from], w.conns[to] = true, true
	w.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { w.pump(to, from, func(m wireMode) bool { return m.out }) })
	both.Go(func() { w.pump(from, to, func(m wireMode) bool { return m.back }) })
	both.Wait()
	w.mu.Lock()
	delete(w.conns, from)
	delete(w.conns, to)
	w.mu.Unlock()
}

// pump carries one direction until either end closes.
func (w *wire) pump(to, from net.Conn, held func(wireMode) bool) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		w.mu.Lock()
		for held(w.mode) && !w.mode.cut {
			w.moved.Wait()
		}
		m := w.mode
		w.mu.Unlock()
		if m.cut || err != nil {
			return
		}
		time.Sleep(m.delay)
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// wired is a cluster whose nodes call each other over wires.
type wired struct {
	*cluster
	wires map[[2]int][]*wire // from, to: Raft's and the admin port's
}

func newWired(t *testing.T) *wired {
	c := newNodes(t, object{})
	w := &wired{cluster: c, wires: map[[2]int][]*wire{}}
	c.view = func(i int) (view []object) {
		for j, p := range c.peers {
			if j != i {
				l := w.wires[[2]int{i, j}]
				p = object{"name": p["name"], "raft": l[0].addr, "admin": l[1].addr}
			}
			view = append(view, p)
		}
		return view
	}
	for i := range 3 {
		for j := range 3 {
			if i != j {
				w.wires[[2]int{i, j}] = []*wire{newWire(t, c.peers[j]["raft"].(string)), newWire(t, c.peers[j]["admin"].(string))}
			}
		}
	}
	c.begin()
	return w
}

// around sets the wires from a node, and those to it.
func (w *wired) around(node int, from, to wireMode) {
	for ends, l := range w.wires {
		for _, one := range l {
			switch node {
			case ends[0]:
				one.set(from)
			case ends[1]:
				one.set(to)
			}
		}
	}
}

// TestLeaderCutOff: a leader that its peers can't reach, but clients can, stops to
// answer as if it were sure, and so does one that only hears and is not heard; the
// others go on, and it catches up.
func TestLeaderCutOff(t *testing.T) {
	t.Parallel()
	w := newWired(t)
	for n, fault := range [][2]wireMode{{{cut: true}, {cut: true}}, {{out: true}, {}}, {{out: true, back: true}, {out: true, back: true}}} {
		lead := w.leader()
		old, now := fmt.Sprintf("%d", 2*n), fmt.Sprintf("%d", 2*n+1)
		w.put(lead, "note/cut", old)
		w.around(lead, fault[0], fault[1])
		next := -1
		await(t, "another leader", func() bool {
			for i := range 3 {
				var st struct{ State string }
				_, text := w.http(i, "GET", "/status", "")
				if i != lead && json.Unmarshal([]byte(text), &st) == nil && st.State == "Leader" {
					next = i
				}
			}
			return next >= 0
		})
		w.put(next, "note/cut", now)
		code, text := w.http(lead, "GET", "/store/note/cut", "")
		assert.Equal(t, 503, code, "fault %d: %s", n, text)
		if deaf := fault[1] != (wireMode{}); deaf { // else it hears of what follows, and can't be sure
			code, text = w.http(lead, "GET", "/store/note/cut?local=1", "")
			assert.Equal(t, fmt.Sprint("200 ", old), fmt.Sprint(code, " ", text), "fault %d", n)
		}
		w.around(lead, wireMode{}, wireMode{})
		w.has(lead, "note/cut", now)
	}
}

// TestStoppedLeader: a leader that stood still while another took its place answers
// reads that waited for it with what that one wrote, or not at all.
func TestStoppedLeader(t *testing.T) {
	t.Parallel()
	c := newCluster(t, object{})
	for round := range 2 {
		lead := c.leader()
		c.put(lead, "note/stop", fmt.Sprint(2*round))
		require.NoError(t, c.nodes[lead].cmd.Process.Signal(syscall.SIGSTOP))
		others := storeclient.New([]string{c.peers[(lead+1)%3]["admin"].(string), c.peers[(lead+2)%3]["admin"].(string)})
		value := fmt.Sprint(2*round + 1)
		_, err := others.Put(t.Context(), "note/stop", json.RawMessage(value), nil)
		require.NoError(t, err)
		var wg sync.WaitGroup
		for range 20 {
			conn, err := net.Dial("tcp", c.peers[lead]["admin"].(string))
			require.NoError(t, err)
			fmt.Fprint(conn, "GET /store/note/stop HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			wg.Go(func() {
				defer conn.Close()
				text, _ := io.ReadAll(conn)
				if strings.HasPrefix(string(text), "HTTP/1.1 200") {
					assert.True(t, strings.HasSuffix(strings.TrimSpace(string(text)), "\n"+value), "%s", text)
				} else {
					assert.True(t, strings.HasPrefix(string(text), "HTTP/1.1 503"), "%s", text)
				}
			})
		}
		time.Sleep(50 * time.Millisecond) // they lie in its sockets
		require.NoError(t, c.nodes[lead].cmd.Process.Signal(syscall.SIGCONT))
		wg.Wait()
		c.has(lead, "note/stop", value)
	}
}

// outage is how long no write was acknowledged after a fault.
type outage struct {
	fault string
	took  time.Duration
}

// prober writes one key without pause, at any node, and keeps when writes that
// succeeded began and ended.
type prober struct {
	mu   sync.Mutex
	done [][2]time.Time
}

func (p *prober) run(c *cluster, stop <-chan struct{}) {
	web := &http.Client{Timeout: 500 * time.Millisecond}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		began := time.Now()
		req, err := http.NewRequest("PUT", "http://"+c.peers[n%3]["admin"].(string)+"/store/probe", strings.NewReader(fmt.Sprint(n)))
		if err != nil {
			panic(err)
		}
		res, err := web.Do(req)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
		if res.StatusCode == 204 {
			p.mu.Lock()
			p.done = append(p.done, [2]time.Time{began, time.Now()})
			p.mu.Unlock()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// after is when the first write ended that began after a time.
func (p *prober) after(at time.Time) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.done) - 1; i >= 0; i-- {
		if p.done[i][0].Before(at) {
			if i+1 < len(p.done) {
				return p.done[i+1][1], true
			}
			return time.Time{}, false
		}
	}
	return time.Time{}, false
}

// TestFaults: clients read, write and compare-and-set at three nodes while leaders are
// killed, cut off, stopped and not heard, links are slow and half open, and all nodes
// die at once. Each key's history is linearizable, and the nodes end up equal.
// -faults 10m is its long form, and prints its table with -v.
func TestFaults(t *testing.T) {
	t.Parallel()
	w := newWired(t)
	h := &history{began: time.Now()}
	stop, probe := make(chan struct{}), &prober{}
	var wg sync.WaitGroup
	for id := range 6 {
		wg.Go(func() { h.client(w.cluster, id, stop) })
	}
	wg.Go(func() { probe.run(w.cluster, stop) })
	rng := rand.New(rand.NewPCG(11, 11))
	pause := func(least, more int) { time.Sleep(time.Duration(least+rng.IntN(more)) * time.Millisecond) }
	heal := func(i int) { w.around(i, wireMode{}, wireMode{}) }
	faults := []struct {
		name   string
		leader bool // the leader is lost to the others
		do     func(i int)
		undo   func(i int)
	}{
		{"leader killed", true, w.kill, w.start},
		{"leader cut off", true, func(i int) { w.around(i, wireMode{cut: true}, wireMode{cut: true}) }, heal},
		{"leader stopped", true, func(i int) { w.nodes[i].cmd.Process.Signal(syscall.SIGSTOP) }, func(i int) { w.nodes[i].cmd.Process.Signal(syscall.SIGCONT) }},
		{"leader not heard", true, func(i int) { w.around(i, wireMode{out: true}, wireMode{}) }, heal},
		{"leader half open", true, func(i int) {
			w.around(i, wireMode{out: true, back: true}, wireMode{out: true, back: true})
		}, heal},
		{"all killed", false, func(int) {
			for i := range 3 {
				w.kill(i)
			}
		}, func(int) {
			for i := range 3 {
				w.start(i)
			}
		}},
		{"follower cut off", false, func(i int) {
			i = (i + 1) % 3
			w.around(i, wireMode{cut: true}, wireMode{cut: true})
		}, func(i int) { heal((i + 1) % 3) }},
		{"all links slow", false, func(int) {
			for i := range 3 {
				w.around(i, wireMode{delay: 30 * time.Millisecond}, wireMode{delay: 30 * time.Millisecond})
			}
		}, func(int) {
			for i := range 3 {
				heal(i)
			}
		}},
	}
	var outages []outage
	count := map[string]int{}
	for n := 0; time.Since(h.began) < *faultTime || !h.enough(); n++ {
		f := faults[n%len(faults)]
		i := w.leader()
		pause(300, 500)
		at := time.Now()
		f.do(i)
		count[f.name]++
		pause(1500, 1500)
		f.undo(i)
		if f.leader {
			await(t, "a write after "+f.name, func() bool {
				end, ok := probe.after(at)
				if ok {
					outages = append(outages, outage{f.name, end.Sub(at)})
				}
				return ok
			})
		}
	}
	close(stop)
	wg.Wait()
	for i := range 3 {
		heal(i)
	}
	result, _ := porcupine.CheckOperationsVerbose(register, h.known(), time.Minute)
	require.Equal(t, porcupine.Ok, result)
	assert.Greater(t, h.count.writes, 50)
	assert.Greater(t, h.count.reads, 100)
	w.equal()
	t.Logf("%v: %d writes and compare-and-sets, %d reads, %d writes of unknown outcome, %d not answered", *faultTime,
		h.count.writes, h.count.reads, h.count.unknown, h.count.refused)
	for _, f := range faults {
		var took []time.Duration
		for _, o := range outages {
			if o.fault == f.name {
				took = append(took, o.took.Round(time.Millisecond))
			}
		}
		if slices.Sort(took); len(took) == 0 {
			t.Logf("| %s | %d | | | |", f.name, count[f.name])
		} else {
			t.Logf("| %s | %d | %v | %v | %v |", f.name, count[f.name], took[len(took)/2], took[(len(took)*99)/100], took[len(took)-1])
		}
	}
}
