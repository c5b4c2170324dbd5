package tests

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/storeclient"
	"oxbowbridge/internal/maintenance"
	"oxbowbridge/internal/testrig"
)

// maintenanceCluster is a group of services under maintenance orders; some are members of the store, the others
// are not.
type maintenanceCluster struct {
	*cluster
	services          []*service // by machine number
	machineNames      []string
	engines           []*engineStandin
	client            *storeclient.Client
	startWithoutStore func(i int) // starts a service that is not a member of the store
}

// newMaintenanceCluster starts the services. Its disruption budget lets two machines out at once, and one per
// zone.
func newMaintenanceCluster(t *testing.T, storeNodes, withoutStore int, command ...string) *maintenanceCluster {
	return newMaintenanceClusterOfBuild(t, "", storeNodes, withoutStore, command...)
}

// newMaintenanceClusterOfBuild is newMaintenanceCluster with another build of the program.
func newMaintenanceClusterOfBuild(t *testing.T, build string, storeNodes, withoutStore int, command ...string) *maintenanceCluster {
	c := newStoppedCluster(t, storeNodes, storeNodes)
	c.buildPath = build
	c.AddLinks()
	y := &maintenanceCluster{cluster: c, services: make([]*service, storeNodes+withoutStore)}
	section := func(i int) object {
		o := object{"zone": fmt.Sprint("z", i%3), "every_ms": 200, "command": command, "command_ms": 20000}
		if i >= storeNodes {
			var nodes []string
			for _, p := range c.Peers {
				nodes = append(nodes, p.Admin)
			}
			o["nodes"] = nodes
		}
		return o
	}
	for i := range storeNodes + withoutStore {
		y.machineNames, y.engines = append(y.machineNames, fmt.Sprint("s", i)), append(y.engines, newEngineStandin(t))
	}
	c.Launch = func(i int, store map[string]any) testrig.Process {
		c.nodes[i] = startServiceBuild(t, c.buildPath, func(cfg object) {
			cfg["name"], cfg["engine"], cfg["store"], cfg["work"] = y.machineNames[i], y.engines[i].addr, store, section(i)
		})
		y.services[i] = c.nodes[i]
		return c.nodes[i]
	}
	c.Bootstrap()
	y.startWithoutStore = func(i int) {
		y.services[i] = startServiceBuild(t, c.buildPath, func(cfg object) {
			cfg["name"], cfg["engine"], cfg["work"] = y.machineNames[i], y.engines[i].addr, section(i)
		})
	}
	for i := storeNodes; i < storeNodes+withoutStore; i++ {
		y.startWithoutStore(i)
	}
	y.client = c.client()
	y.setDisruptionBudget(t, func(*maintenance.DisruptionBudget) {})
	await(t, "all machines to be in service", func() bool {
		st, err := y.client.MaintenanceStatus(t.Context())
		in := 0
		for _, m := range st.Machines {
			if m.State == maintenance.MachineInService && m.UtilizationAgeMS >= 0 {
				in++
			}
		}
		return err == nil && in == len(y.services)
	})
	return y
}

// setDisruptionBudget stores the default test budget, after change has modified it.
func (y *maintenanceCluster) setDisruptionBudget(t *testing.T, change func(*maintenance.DisruptionBudget)) {
	l := maintenance.DefaultDisruptionBudget()
	l.MaxOut, l.MaxOutPerZone, l.MaxCapacityFraction, l.MaxZoneCapacityFraction, l.SpareCapacityFraction = 2, 1, 0.5, 1, 0
	change(&l)
	y.Put(0, "config/work", fmt.Sprintf(`{"most":%d,"most_zone":%d,"share":%g,"share_zone":%g,"spare":%g,"over_ms":%d,"warm_ms":%d,"failures":%d}`,
		l.MaxOut, l.MaxOutPerZone, l.MaxCapacityFraction, l.MaxZoneCapacityFraction, l.SpareCapacityFraction, l.OverrunGracePeriodMS, l.WarmUpTimeoutMS, l.MaxFailures))
}

func (y *maintenanceCluster) orderPhases(t *testing.T) map[string]maintenance.Phase {
	out := map[string]maintenance.Phase{}
	if st, err := y.client.MaintenanceStatus(t.Context()); err == nil {
		for _, j := range st.Orders {
			out[j.Machine] = j.Phase
		}
	}
	return out
}

// awaitPhases waits until each of the machines is in one of the wanted phases.
func (y *maintenanceCluster) awaitPhases(t *testing.T, nodes []string, want ...maintenance.Phase) {
	t.Helper()
	end := time.Now().Add(4 * awaitTimeout) // a maintenance order takes several phases
	for time.Now().Before(end) {
		have, n := y.orderPhases(t), 0
		for _, node := range nodes {
			for _, w := range want {
				if have[node] == w {
					n++
				}
			}
		}
		if n == len(nodes) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	st, _ := y.client.MaintenanceStatus(t.Context())
	t.Fatalf("machines did not reach the phases %v: %v: %+v", want, nodes, st)
}

// outageObserver records how many services refuse connections at once, in total and per zone.
type outageObserver struct {
	mu           sync.Mutex
	maxOut       int
	maxOutInZone int
	finished     sync.WaitGroup
}

func (y *maintenanceCluster) observeOutages(stop <-chan struct{}) *outageObserver {
	o := &outageObserver{}
	o.finished.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			out, zones, zone := 0, map[int]int{}, 0
			for i, s := range y.services {
				conn, err := net.DialTimeout("tcp", s.fcgiAddr, time.Second)
				if err == nil {
					conn.Close()
					continue
				}
				out++
				zones[i%3]++
				zone = max(zone, zones[i%3])
			}
			o.mu.Lock()
			o.maxOut, o.maxOutInZone = max(o.maxOut, out), max(o.maxOutInZone, zone)
			o.mu.Unlock()
		}
	})
	return o
}

// TestWorkOrder: two operators submit overlapping orders for all of seven services, five of them store members.
// Each machine must go out and return once, at most two at a time and one per zone, while the controller's node
// is paused and cut off, the leader is isolated, and links are slow. Each nom-submit runs at most once.
func TestWorkOrder(t *testing.T) {
	t.Parallel()
	logSeedOnFailure(t)
	startedPath := filepath.Join(t.TempDir(), "went")
	y := newMaintenanceCluster(t, 5, 2, "sh", "-c", "echo $OXBOWBRIDGE_WORK_NODE >> "+startedPath+"; sleep 0.5")
	stop := make(chan struct{})
	o := y.observeOutages(stop)
	var traffic sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := range y.services {
		traffic.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(15 * time.Millisecond):
				}
				cl, err := dialFCGI(y.services[i].fcgiAddr)
				if err != nil {
					continue // the service is out for maintenance
				}
				trace := newTraceID()
				if a, err := cl.do("/call/nom-submit", requestHeaders(trace), []byte("ok")); err == nil && a.status == 200 {
					assert.True(t, strings.HasSuffix(a.body, trace))
					mu.Lock()
					served++
					mu.Unlock()
				}
				cl.Close()
			}
		})
	}
	var operators sync.WaitGroup
	for _, half := range [][]string{y.machineNames[:5], y.machineNames[2:]} {
		operators.Go(func() {
			for _, n := range half {
				runCLI(t, "", "work", "ask", n, "--for=30s", "--reason=kernel", "--nodes="+strings.Join(y.client.Nodes, ",")) // the other operator may have submitted the order
			}
		})
	}
	operators.Wait()
	holder := func() int {
		st, err := y.client.MaintenanceStatus(t.Context())
		if err != nil || st.Controller == "" {
			return 0
		}
		return int(st.Controller[1] - '0')
	}
	slow := testrig.LinkMode{Delay: 10 * time.Millisecond}
	plan := testrig.NewSchedule(*seed, 5, time.Second,
		testrig.Fault{Name: "controller's node stopped", Inject: func(i int) { y.Pause(i) }, Recover: func(i int) { y.Resume(i) }},
		testrig.Fault{Name: "controller's node cut off", Inject: func(i int) { y.SetNodeLinks(i, testrig.LinkMode{Cut: true}, testrig.LinkMode{Cut: true}) }, Recover: func(int) { y.HealLinks() }},
		testrig.Fault{Name: "leader's messages stalled", IsolatesLeader: true, Inject: func(i int) { y.SetNodeLinks(i, testrig.LinkMode{StallRequests: true}, testrig.LinkMode{}) }, Recover: func(int) { y.HealLinks() }},
		testrig.Fault{Name: "links slow", Inject: func(i int) { y.SetNodeLinks(i, slow, slow) }, Recover: func(int) { y.HealLinks() }})
	for range 4 {
		turn := plan.Next()
		at := holder()
		if turn.Fault.IsolatesLeader {
			at = y.WaitForLeader()
		}
		turn.Fault.Inject(at)
		time.Sleep(turn.Duration)
		turn.Fault.Recover(at)
		time.Sleep(turn.DelayBefore)
	}
	y.awaitPhases(t, y.machineNames, maintenance.PhaseCompleted)
	close(stop)
	traffic.Wait()
	o.finished.Wait()
	assert.LessOrEqual(t, o.maxOut, 2, "machines out at once")
	assert.LessOrEqual(t, o.maxOutInZone, 1, "machines out in one zone")
	assert.Positive(t, o.maxOut)
	text, err := os.ReadFile(startedPath)
	require.NoError(t, err)
	startCounts := map[string]int{}
	for _, n := range strings.Fields(string(text)) {
		startCounts[n]++
	}
	for i, n := range y.machineNames {
		assert.Equal(t, 1, startCounts[n], n)
		for trace, runs := range y.engines[i].runCounts {
			assert.Equal(t, 1, runs, "runs of %s", trace)
		}
	}
	assert.Positive(t, served)
}

// TestWorkFails: a machine whose maintenance command fails keeps its slot and pauses all orders until an
// operator resumes them. Cancelling and pausing take effect.
func TestWorkFails(t *testing.T) {
	t.Parallel()
	y := newMaintenanceCluster(t, 3, 2, "sh", "-c", `test "$OXBOWBRIDGE_WORK_NODE" != s3 || { echo no such kernel; exit 3; }`)
	y.setDisruptionBudget(t, func(l *maintenance.DisruptionBudget) { l.MaxFailures, l.MaxOut, l.MaxOutPerZone = 1, 1, 1 })
	all := "--nodes=" + strings.Join(y.client.Nodes, ",")
	run := func(args ...string) (string, string, int) {
		return runCLI(t, "", append(append([]string{"work"}, args...), all)...)
	}
	_, errs, code := run("ask", "s3", "--for=5s", "--priority=1")
	require.Zero(t, code, errs)
	y.awaitPhases(t, []string{"s3"}, maintenance.PhaseFailed)
	_, errs, code = run("ask", "s4", "nobody", "--for=5s")
	assert.Zero(t, code, errs)
	await(t, "the orders to be paused", func() bool {
		out, _, _ := run("list")
		return strings.Contains(out, "PAUSED: 1 machines failed to return") && strings.Contains(out, "no such kernel")
	})
	time.Sleep(time.Second)
	assert.Equal(t, maintenance.PhaseRequested, y.orderPhases(t)["s4"])
	_, errs, code = run("cancel", "nobody")
	assert.Zero(t, code, errs)
	_, errs, code = run("cancel", "nobody")
	assert.Equal(t, 1, code)
	assert.Contains(t, errs, "no work is asked for")
	// s3 is restarted by hand and reports that it is back.
	<-y.services[3].exited
	y.startWithoutStore(3)
	y.awaitPhases(t, []string{"s3"}, maintenance.PhaseCompleted)
	_, errs, code = run("resume")
	assert.Zero(t, code, errs)
	y.awaitPhases(t, []string{"s4"}, maintenance.PhaseCompleted)
	// Without one of the three voters, fewer than a quorum and one spare would stay.
	_, errs, code = run("ask", "s0", "--for=5s")
	assert.Zero(t, code, errs)
	await(t, "the reason for waiting", func() bool { out, _, _ := run("list"); return strings.Contains(out, "voters would stay") })
	out, errs, code := run("plan", "--chart="+filepath.Join(t.TempDir(), "plan.svg"))
	assert.Zero(t, code, errs)
	assert.Contains(t, out, "no plan within the limits is shorter")
	out, _, code = run("list", "--json")
	assert.Zero(t, code)
	assert.Contains(t, out, `"first": "s0"`)
	for _, bad := range [][]string{{"ask", "s0", "--for=1ms"}, {"ask", "a b"}, {"plan", "--chart=x.txt"}, {"plan", "--window=5h"}, {"ask"}} {
		_, _, code = run(bad...)
		assert.Equal(t, 2, code, bad)
	}
	code, text := y.requestWithRetry(1, "POST", "/work", `{"node":"s1","reason":"kernel","for_ms":600000,"priority":0}`)
	assert.Contains(t, []int{200, 409}, code, "409 if a first attempt was answered with 503 and was done: %s", text)
	assert.Equal(t, maintenance.PhaseRequested, y.orderPhases(t)["s1"])
	code, text = y.requestWithRetry(1, "POST", "/work", `{"node":"s1","reason":"kernel","for_ms":600000,"priority":0}`)
	assert.Equal(t, 409, code, text)
	code, text = y.requestWithRetry(1, "PUT", "/work/s1", `{"state":"draining","grant":7}`)
	assert.Equal(t, 409, code, "not granted: %s", text)
	code, _ = y.requestWithRetry(1, "DELETE", "/work/s1", "")
	assert.Equal(t, 204, code)
}
