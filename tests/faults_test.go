package tests

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/storeclient"
	"oxbowbridge/internal/testrig"
)

// newWired is three nodes that run, and call each other over links.
func newWired(t *testing.T) *cluster {
	c := newNodes(t, 3, 3)
	c.Wire()
	c.Begin()
	return c
}

// TestLeaderCutOff: a leader that its peers can't reach, but clients can, stops to
// answer as if it were sure, and so does one that only hears and is not heard; the
// others go on, and it catches up.
func TestLeaderCutOff(t *testing.T) {
	t.Parallel()
	w := newWired(t)
	for n, fault := range [][2]testrig.Mode{{{Cut: true}, {Cut: true}}, {{Out: true}, {}}, {{Out: true, Back: true}, {Out: true, Back: true}}} {
		lead := w.Leader()
		old, now := fmt.Sprintf("%d", 2*n), fmt.Sprintf("%d", 2*n+1)
		w.Put(lead, "note/cut", old)
		w.Around(lead, fault[0], fault[1])
		next := -1
		await(t, "another leader", func() bool {
			for i := range 3 {
				var st struct{ State string }
				_, text := w.HTTP(i, "GET", "/status", "")
				if i != lead && json.Unmarshal([]byte(text), &st) == nil && st.State == "Leader" {
					next = i
				}
			}
			return next >= 0
		})
		w.Put(next, "note/cut", now)
		code, text := w.HTTP(lead, "GET", "/store/note/cut", "")
		assert.Equal(t, 503, code, "fault %d: %s", n, text)
		if deaf := fault[1] != (testrig.Mode{}); deaf { // else it hears of what follows, and can't be sure
			code, text = w.HTTP(lead, "GET", "/store/note/cut?local=1", "")
			assert.Equal(t, fmt.Sprint("200 ", old), fmt.Sprint(code, " ", text), "fault %d", n)
		}
		w.Around(lead, testrig.Mode{}, testrig.Mode{})
		w.Has(lead, "note/cut", now)
	}
}

// overtaken has the others write a key while their former leader stands still, and reads
// wait in its sockets: they are answered with that value, or not at all.
func (c *cluster) overtaken(t *testing.T, stopped int, key, value string) *sync.WaitGroup {
	others := storeclient.New([]string{c.Peers[(stopped+1)%3].Admin, c.Peers[(stopped+2)%3].Admin})
	_, err := others.Put(t.Context(), key, json.RawMessage(value), nil)
	require.NoError(t, err)
	wg := &sync.WaitGroup{}
	for range 20 {
		conn, err := net.Dial("tcp", c.Peers[stopped].Admin)
		require.NoError(t, err)
		fmt.Fprintf(conn, "GET /store/%s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", key)
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
	return wg
}

// TestStoppedLeader: a leader that stood still while another took its place answers
// reads that waited for it with what that one wrote, or not at all.
func TestStoppedLeader(t *testing.T) {
	t.Parallel()
	c := newCluster(t, object{})
	for round := range 2 {
		lead := c.Leader()
		c.Put(lead, "note/stop", fmt.Sprint(2*round))
		c.Stop(lead)
		value := fmt.Sprint(2*round + 1)
		wg := c.overtaken(t, lead, "note/stop", value)
		time.Sleep(50 * time.Millisecond) // they lie in its sockets
		c.Continue(lead)
		wg.Wait()
		c.Has(lead, "note/stop", value)
	}
}

// TestForwardedWrite: a write in a session, sent to a follower when its leader has just
// been stopped, is answered by the next leader in the same request.
func TestForwardedWrite(t *testing.T) {
	t.Parallel()
	c := newCluster(t, nil)
	var a struct{ Session uint64 }
	await(t, "a session", func() bool {
		code, text := c.HTTP(0, "POST", "/session", "")
		return code == 200 && json.Unmarshal([]byte(text), &a) == nil
	})
	n := 0
	await(t, "a write that the next leader answers", func() bool {
		n++
		lead := c.Leader()
		c.Stop(lead)
		defer c.Continue(lead)
		req, err := http.NewRequest("PUT", "http://"+c.Peers[(lead+1)%3].Admin+"/store/note/session", strings.NewReader(fmt.Sprint(n)))
		require.NoError(t, err)
		req.Header.Set("Session", fmt.Sprint(a.Session))
		req.Header.Set("Request-Number", fmt.Sprint(n))
		res, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		res.Body.Close()
		return res.StatusCode == 204
	})
	c.Has(0, "note/session", fmt.Sprint(n))
}

// seed is that of the schedules.
var seed = flag.Uint64("seed", 11, "of the faults' schedules")

// replay says on failure how the same schedule is played again.
func replay(t *testing.T) {
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the same schedule again: -run '^%s$' -seed %d", t.Name(), *seed)
		}
	})
}

// change has a member removed, or let in again.
func (c *cluster) change(method string, node int) {
	testrig.Await(c.T, "a change of the members", func() bool {
		code, _ := c.HTTP(c.Leader(), method, "/members/"+c.Peers[node].Name, "")
		return code == 204
	})
}

// outage is how long no write was acknowledged after a fault.
type outage struct {
	fault string
	took  time.Duration
}

// TestFaults: clients read, write and compare-and-set at three nodes while leaders are
// killed, cut off, stopped and not heard, links are slow and half open, and all nodes
// die at once. Each key's history is linearizable, and the nodes end up equal.
// -faults 10m is its long form, and prints its table with -v.
func TestFaults(t *testing.T) {
	t.Parallel()
	replay(t)
	w := newWired(t)
	h := testrig.NewHistory()
	stop, probe := make(chan struct{}), &testrig.Prober{}
	var wg sync.WaitGroup
	for id := range 6 {
		wg.Go(func() { h.Client(w.Cluster, id, stop) })
	}
	wg.Go(func() { probe.Run(w.Cluster, stop) })
	heal := func(i int) { w.Around(i, testrig.Mode{}, testrig.Mode{}) }
	all := func(do func(i int)) func(int) {
		return func(int) {
			for i := range 3 {
				do(i)
			}
		}
	}
	around := func(from, to testrig.Mode) func(int) { return func(i int) { w.Around(i, from, to) } }
	held := testrig.Mode{Out: true, Back: true}
	faults := []testrig.Fault{
		{Name: "leader killed", Leader: true, Do: w.Kill, Undo: w.Start},
		{Name: "leader cut off", Leader: true, Do: around(testrig.Mode{Cut: true}, testrig.Mode{Cut: true}), Undo: heal},
		{Name: "leader stopped", Leader: true, Do: w.Stop, Undo: w.Continue},
		{Name: "leader not heard", Leader: true, Do: around(testrig.Mode{Out: true}, testrig.Mode{}), Undo: heal},
		{Name: "leader half open", Leader: true, Do: around(held, held), Undo: heal},
		{Name: "all killed", Do: all(w.Kill), Undo: all(w.Start)},
		{Name: "follower cut off", Do: func(i int) { w.Around((i+1)%3, testrig.Mode{Cut: true}, testrig.Mode{Cut: true}) }, Undo: func(i int) { heal((i + 1) % 3) }},
		{Name: "all links slow", Do: all(around(testrig.Mode{Delay: 30 * time.Millisecond}, testrig.Mode{Delay: 30 * time.Millisecond})), Undo: all(heal)},
		{Name: "resets in bursts", Do: all(around(testrig.Mode{Burst: 60 * time.Millisecond, Every: 300 * time.Millisecond}, testrig.Mode{})), Undo: all(heal)},
		{Name: "follower on 20 kB/s", Do: func(i int) { w.Around((i+1)%3, testrig.Mode{Rate: 20 << 10}, testrig.Mode{Rate: 20 << 10}) }, Undo: func(i int) { heal((i + 1) % 3) }},
	}
	strong := func(int) { w.Strong(0, 1, 2) }
	older := map[int]string{}
	faults = append(faults,
		testrig.Fault{Name: "leader's disk lost", Leader: true, Do: func(i int) { w.Kill(i); w.Wipe(i); w.Start(i) }, Undo: strong},
		testrig.Fault{Name: "follower's disk lost", Do: func(i int) { w.Replace((i + 1) % 3) }, Undo: strong},
		testrig.Fault{Name: "folder goes back", Do: func(i int) { older[(i+1)%3] = w.Copy((i + 1) % 3) }, Undo: func(i int) {
			i = (i + 1) % 3
			w.Kill(i)
			w.Bring(i, older[i])
			w.Start(i)
			strong(i)
		}},
		testrig.Fault{Name: "member removed, and let in again", Do: func(i int) { w.change("DELETE", (i+1)%3) }, Undo: func(i int) {
			w.change("PUT", (i+1)%3)
			strong(i)
		}})
	plan := testrig.NewSchedule(*seed, 3, 1500*time.Millisecond, faults...)
	var outages []outage
	count := map[string]int{}
	for h.Since() < *faultTime || !h.Enough(*faultTime) {
		turn := plan.Next()
		f := turn.Fault
		i := w.Leader()
		time.Sleep(turn.Before)
		at := time.Now()
		f.Do(i)
		count[f.Name]++
		time.Sleep(turn.For)
		f.Undo(i)
		if f.Leader {
			await(t, "a write after "+f.Name, func() bool {
				end, ok := probe.After(at)
				if ok {
					outages = append(outages, outage{f.Name, end.Sub(at)})
				}
				return ok
			})
		}
	}
	close(stop)
	wg.Wait()
	w.Heal()
	require.True(t, h.Linearizable())
	assert.Greater(t, h.Writes, 50)
	assert.Greater(t, h.Reads, 100)
	w.Equal(0, 1, 2)
	t.Logf("seed %d, %v: %d writes and compare-and-sets, %d reads, %d writes of unknown outcome, %d not answered", *seed, *faultTime,
		h.Writes, h.Reads, h.Unknown, h.Refused)
	for _, f := range faults {
		var took []time.Duration
		for _, o := range outages {
			if o.fault == f.Name {
				took = append(took, o.took.Round(time.Millisecond))
			}
		}
		if slices.Sort(took); len(took) == 0 {
			t.Logf("| %s | %d | | | |", f.Name, count[f.Name])
		} else {
			t.Logf("| %s | %d | %v | %v | %v |", f.Name, count[f.Name], took[len(took)/2], took[(len(took)*99)/100], took[len(took)-1])
		}
	}
}
