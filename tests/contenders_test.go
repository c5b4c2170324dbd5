package tests

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/testrig"
)

const envLeaseCommandURL = "OXBOWBRIDGE_TEST_ACTOR"

// runLeaseCommand is the command that a contender runs under its lease: this test binary, which keeps acting on
// the resource without checking the lease.
func runLeaseCommand(url string) int {
	httpClient := &http.Client{Timeout: time.Second}
	query := "?holder=" + os.Getenv("HOLDER") + "&token=" + os.Getenv("OXBOWBRIDGE_LEASE_TOKEN")
	maxActions, _ := strconv.Atoi(os.Getenv("ACTS"))
	for range maxActions {
		time.Sleep(3 * time.Millisecond)
		res, err := httpClient.Post(url+"/act"+query, "", nil)
		if err == nil {
			res.Body.Close()
		}
	}
	return 0
}

// contender repeatedly runs a command under the lease. It reaches each store node over its own link.
type contender struct {
	t           *testing.T
	name        string
	nodes       []string
	links       []*testrig.Link
	resourceURL string
	ttl         time.Duration

	mu         sync.Mutex
	runCount   int
	cmd        *exec.Cmd
	stopped    bool
	stderr     strings.Builder
	background sync.WaitGroup
}

func newContender(t *testing.T, c *cluster, i int, res *testrig.Resource, ttl time.Duration) *contender {
	x := &contender{t: t, name: fmt.Sprint("c", i), resourceURL: res.URL, ttl: ttl}
	for n := range c.Peers {
		l, err := testrig.NewLink(c.Peers[(n+i)%len(c.Peers)].Admin)
		require.NoError(t, err)
		t.Cleanup(l.Close)
		x.links, x.nodes = append(x.links, l), append(x.nodes, l.Addr)
	}
	x.background.Go(x.runRepeatedly)
	t.Cleanup(x.stop)
	return x
}

// runRepeatedly runs the command under the lease until stop is called.
func (x *contender) runRepeatedly() {
	for {
		x.mu.Lock()
		if x.stopped {
			x.mu.Unlock()
			return
		}
		x.runCount++
		holder := fmt.Sprintf("%s-%d", x.name, x.runCount)
		x.cmd = exec.Command(programPath, "lease", "run", "job", "--ttl", x.ttl.String(), "--holder", holder, "--nodes", strings.Join(x.nodes, ","),
			"--", os.Args[0])
		x.cmd.Env = append(os.Environ(), envLeaseCommandURL+"="+x.resourceURL, "HOLDER="+holder, fmt.Sprint("ACTS=", 80+x.runCount*37%160))
		x.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		x.cmd.Stderr = &x.stderr
		err := x.cmd.Start()
		cmd := x.cmd
		x.mu.Unlock()
		if err != nil {
			x.t.Errorf("contender: %v", err)
			return
		}
		cmd.Wait()
		time.Sleep(20 * time.Millisecond)
	}
}

func (x *contender) stop() {
	x.mu.Lock()
	x.stopped = true
	x.cmd.Process.Kill()
	x.mu.Unlock()
	x.signalTree(syscall.SIGCONT)
	x.background.Wait()
}

// processTree returns the process IDs of the current lease process and all its descendants, in any process
// group.
func (x *contender) processTree() []int {
	x.mu.Lock()
	defer x.mu.Unlock()
	parents := map[int]int{}
	lists, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, l := range lists {
		text, _ := os.ReadFile(l)
		_, rest, _ := strings.Cut(string(text), ") ")
		var state string
		var parent int
		if n, _ := fmt.Sscan(rest, &state, &parent); n == 2 {
			pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(l)))
			parents[pid] = parent
		}
	}
	all := []int{x.cmd.Process.Pid}
	for i := 0; i < len(all); i++ {
		for pid, parent := range parents {
			if parent == all[i] {
				all = append(all, pid)
			}
		}
	}
	return all
}

// signalTree signals the lease process and its descendants. SIGCONT reaches the command 30 ms before the
// processes that would stop it, which is the harder case for the fence.
func (x *contender) signalTree(sig syscall.Signal) {
	var rest []int
	for _, pid := range x.processTree() {
		if exe, _ := os.Readlink(fmt.Sprintf("/proc/%d/exe", pid)); exe != programPath && sig == syscall.SIGCONT {
			syscall.Kill(pid, sig)
		} else {
			rest = append(rest, pid)
		}
	}
	if sig == syscall.SIGCONT {
		time.Sleep(30 * time.Millisecond)
	}
	for _, pid := range rest {
		syscall.Kill(pid, sig)
	}
}

// signalLeaseProcess signals the process that holds the lease, but not its command or its guard.
func (x *contender) signalLeaseProcess(sig syscall.Signal) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cmd.Process.Signal(sig)
}

func (x *contender) setLinks(m testrig.LinkMode) {
	for _, l := range x.links {
		l.SetMode(m)
	}
}

// leaseContest is a store cluster with contenders for one lease.
type leaseContest struct {
	*cluster
	resource   *testrig.Resource
	contenders []*contender
	ttl        time.Duration
}

func newLeaseContest(t *testing.T, nodes, contenders int, fence bool) *leaseContest {
	c := newStoppedCluster(t, nodes, nodes)
	c.AddLinks()
	c.Bootstrap()
	s := &leaseContest{cluster: c, resource: testrig.NewResource(t, fence), ttl: time.Second}
	for i := range contenders {
		s.contenders = append(s.contenders, newContender(t, c, i, s.resource, s.ttl))
	}
	await(t, "a first action under the lease", func() bool { _, acts, _ := s.resource.Counts(); return acts > 0 })
	return s
}

// holder waits until a contender acts under the lease, and returns it with its token.
func (s *leaseContest) holder() (x *contender, token uint64) {
	testrig.Await(s.T, "a lease holder that acts", func() bool {
		a, ok := s.resource.LastAction()
		for _, c := range s.contenders {
			if name, _, _ := strings.Cut(a.Holder, "-"); ok && time.Since(a.End) < 50*time.Millisecond && c.name == name {
				x, token = c, a.Token
			}
		}
		return x != nil
	})
	return x, token
}

// faults returns the faults of the store's nodes and of the lease holder.
func (s *leaseContest) faults() []testrig.Fault {
	var faultyHolder *contender
	onHolder := func(do func(x *contender)) func(int) {
		return func(int) { faultyHolder, _ = s.holder(); do(faultyHolder) }
	}
	onFaultyHolder := func(do func(x *contender)) func(int) { return func(int) { do(faultyHolder) } }
	stalled := testrig.LinkMode{StallRequests: true, StallResponses: true}
	onAllNodes := func(do func(i int)) func(int) {
		return func(int) {
			for i := range s.Peers {
				do(i)
			}
		}
	}
	heal := func(i int) { s.SetNodeLinks(i, testrig.LinkMode{}, testrig.LinkMode{}) }
	slow := testrig.LinkMode{Delay: 15 * time.Millisecond}
	onHolderPastTTL := func(do func(x *contender)) func(int) {
		return onHolder(func(x *contender) { do(x); time.Sleep(2 * s.ttl) })
	}
	return []testrig.Fault{
		{Name: "several faults at once", IsolatesLeader: true, Inject: func(i int) {
			s.contenders[int(*seed)%len(s.contenders)].signalLeaseProcess(syscall.SIGKILL)
			s.SetNodeLinks((i+1)%len(s.Peers), testrig.LinkMode{StallRequests: true}, testrig.LinkMode{})
			s.SetNodeLinks((i+2)%len(s.Peers), slow, slow)
			s.Pause(i)
			onHolderPastTTL(func(x *contender) { x.signalTree(syscall.SIGSTOP) })(i)
		}, Recover: func(i int) {
			faultyHolder.signalTree(syscall.SIGCONT)
			s.Resume(i)
			s.HealLinks()
		}},
		{Name: "leader killed", IsolatesLeader: true, Inject: s.Kill, Recover: s.Start},
		{Name: "leader stopped", IsolatesLeader: true, Inject: s.Pause, Recover: s.Resume},
		{Name: "leader cut off", Inject: func(i int) { s.SetNodeLinks(i, testrig.LinkMode{Cut: true}, testrig.LinkMode{Cut: true}) }, Recover: heal},
		{Name: "leader's messages stalled", Inject: func(i int) { s.SetNodeLinks(i, testrig.LinkMode{StallRequests: true}, testrig.LinkMode{}) }, Recover: heal},
		{Name: "all links of the store slow", Inject: onAllNodes(func(i int) { s.SetNodeLinks(i, slow, slow) }), Recover: onAllNodes(heal)},
		{Name: "all nodes killed", Inject: onAllNodes(s.Kill), Recover: onAllNodes(s.Start)},
		{Name: "holder and its command stopped", Inject: onHolderPastTTL(func(x *contender) { x.signalTree(syscall.SIGSTOP) }), Recover: onFaultyHolder(func(x *contender) { x.signalTree(syscall.SIGCONT) })},
		{Name: "holder stopped without its command", Inject: onHolderPastTTL(func(x *contender) { x.signalLeaseProcess(syscall.SIGSTOP) }), Recover: onFaultyHolder(func(x *contender) { x.signalLeaseProcess(syscall.SIGCONT) })},
		{Name: "holder killed", Inject: onHolder(func(x *contender) { x.signalLeaseProcess(syscall.SIGKILL) }), Recover: func(int) {}},
		{Name: "holder cut off from the store", Inject: onHolder(func(x *contender) { x.setLinks(testrig.LinkMode{Cut: true}) }), Recover: onFaultyHolder(func(x *contender) { x.setLinks(testrig.LinkMode{}) })},
		{Name: "responses to the holder stalled", Inject: onHolder(func(x *contender) { x.setLinks(testrig.LinkMode{StallResponses: true}) }), Recover: onFaultyHolder(func(x *contender) { x.setLinks(testrig.LinkMode{}) })},
		{Name: "holder's links stalled", Inject: onHolder(func(x *contender) { x.setLinks(stalled) }), Recover: onFaultyHolder(func(x *contender) { x.setLinks(testrig.LinkMode{}) })},
	}
}

// TestContenders: seven processes contend for one lease at five nodes while leaders and holders are killed,
// paused and cut off. No two may act at once, tokens only grow, and actions of a holder that was paused past
// its lease are rejected. Run it longer with -faults 10m; -v prints a table per fault.
func TestContenders(t *testing.T) {
	t.Parallel()
	logSeedOnFailure(t)
	s := newLeaseContest(t, 5, 7, true)
	faults := s.faults()
	plan := testrig.NewSchedule(*seed, 5, s.ttl, faults...)
	startedAt, gaps, refused := time.Now(), map[string][]time.Duration{}, map[string]int{}
	for n := 0; n < len(faults) || time.Since(startedAt) < *faultDuration; n++ {
		turn := plan.Next()
		f := turn.Fault
		i := s.WaitForLeader()
		s.holder()
		time.Sleep(turn.DelayBefore)
		_, _, before := s.resource.Counts()
		injectedAt := time.Now()
		f.Inject(i)
		time.Sleep(turn.Duration)
		f.Recover(i)
		recoveredAt := time.Now()
		await(t, "an action after "+f.Name, func() bool { return s.resource.ActedAfter(recoveredAt) })
		gaps[f.Name] = append(gaps[f.Name], s.resource.LongestGap(injectedAt).Round(time.Millisecond))
		_, _, after := s.resource.Counts()
		refused[f.Name] += after - before
	}
	tokens, acts, rejectedTotal := s.resource.Counts()
	assert.Empty(t, s.resource.Violations())
	assert.Greater(t, tokens, len(faults))
	t.Logf("seed %d, %v: %d tokens acted, %d acts, %d acts refused by the fence", *seed, time.Since(startedAt).Round(time.Second), tokens, acts, rejectedTotal)
	for _, f := range faults {
		list := gaps[f.Name]
		if slices.Sort(list); len(list) > 0 {
			t.Logf("| %s | %d | %v | %v | %v | %d |", f.Name, len(list), list[len(list)/2], list[len(list)*99/100], list[len(list)-1], refused[f.Name])
		}
	}
}

// TestContendersNoFence checks that without the fence the resource detects actions under an expired lease.
func TestContendersNoFence(t *testing.T) {
	t.Parallel()
	s := newLeaseContest(t, 3, 3, false)
	await(t, "an action of a paused former holder", func() bool {
		x, token := s.holder()
		x.signalTree(syscall.SIGSTOP)
		await(t, "the next lease holder", func() bool { a, _ := s.resource.LastAction(); return a.Token != token })
		x.signalTree(syscall.SIGCONT)
		time.Sleep(100 * time.Millisecond)
		return len(s.resource.Violations()) > 0
	})
}
