package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"oxbowbridge/internal/cluster/leaseclient"
	"oxbowbridge/internal/testrig"
)

// leaseBench is what is measured of leases, at five nodes.
type leaseBench struct {
	*bench
	c     *testrig.Cluster
	x     build
	pids  []int
	nodes []string
}

// leases measures one build.
func (b *bench) leases(x build) (err error) {
	return b.onCluster(x, 5, func(t *tool, c *testrig.Cluster) error {
		l := &leaseBench{bench: b, c: c, x: x}
		for i, p := range c.Peers {
			l.nodes = append(l.nodes, p.Admin)
			l.pids = append(l.pids, c.Process(i).(process).Process.Pid)
		}
		for _, step := range []func() error{l.handovers, l.contention, l.many} {
			if err := step(); err != nil {
				return err
			}
		}
		return nil
	})
}

// handovers kills a holder, again and again, and measures until the next one has the lease.
func (l *leaseBench) handovers() error {
	const ttl = 2 * time.Second
	for n := range l.outages {
		holder := exec.Command(l.x.path, "lease", "run", "killed", "--ttl", ttl.String(), "--nodes", strings.Join(l.nodes, ","), "--", "sleep", "60")
		holder.Stdout, holder.Stderr = os.Stdout, os.Stderr
		if err := holder.Start(); err != nil {
			return err
		}
		testrig.Await(l.c.T, "the holder", func() bool { return l.c.GetJSON(0, "/lease/killed", &struct{}{}) })
		time.Sleep(ttl/2 + time.Duration(n*137%1000)*time.Millisecond)
		next := leaseclient.New(l.nodes, leaseclient.NewHolderName())
		got := make(chan error, 1)
		go func() {
			h, err := next.Acquire(context.Background(), leaseclient.AcquireOptions{Name: "killed", TTL: ttl, Wait: true})
			if err == nil {
				got <- nil
				h.Release(context.Background(), "")
				return
			}
			got <- err
		}()
		time.Sleep(200 * time.Millisecond) // it waits
		holder.Process.Signal(syscall.SIGKILL)
		at := time.Now()
		if err := <-got; err != nil {
			return err
		}
		l.note("ms from a holder's SIGKILL to the next grant, TTL 2000|"+l.x.name, float64(time.Since(at).Milliseconds()))
		holder.Wait()
		next.Close()
	}
	return nil
}

// contention has contenders take and give back a lease, one for all or one each.
func (l *leaseBench) contention() error {
	for _, clients := range []int{1, 64} {
		for _, one := range []bool{true, false} {
			if clients == 1 && !one {
				continue
			}
			what := fmt.Sprintf("%02d contenders, a name each|%s", clients, l.x.name)
			if one {
				what = fmt.Sprintf("%02d contenders, one name|%s", clients, l.x.name)
			}
			keepers := make([]*leaseclient.Manager, clients)
			for i := range keepers {
				keepers[i] = leaseclient.New(l.nodes, fmt.Sprintf("bench-%d-%v-%d", clients, one, i))
				defer keepers[i].Close()
			}
			var mu sync.Mutex
			n, err := l.load(clients, 2*l.span, func(id, _ int) error {
				name := "contended"
				if !one {
					name = fmt.Sprint("own/", id)
				}
				began := time.Now()
				h, err := keepers[id].Acquire(context.Background(), leaseclient.AcquireOptions{Name: name, TTL: 10 * time.Second, Wait: true})
				if err != nil {
					return err
				}
				had := time.Now()
				err = h.Release(context.Background(), "")
				mu.Lock()
				defer mu.Unlock()
				l.note("us to acquire, "+what, float64(had.Sub(began).Microseconds()))
				l.note("us to release, "+what, float64(time.Since(had).Microseconds()))
				return err
			})
			if err != nil {
				return err
			}
			l.note("grants/s, "+what, n)
		}
	}
	return nil
}

const (
	manyHolders = 300
	manyLeases  = 10000
	manyTTL     = 10 * time.Second
)

// many has leases of many holders kept alive, and measures what that costs the leader.
func (l *leaseBench) many() error {
	lead := l.c.WaitForLeader()
	before := memoryOf(l.pids[lead])
	keepers := make([]*leaseclient.Manager, manyHolders)
	var all sync.WaitGroup
	failed := make(chan error, manyHolders)
	slots := make(chan struct{}, 32)
	for i := range keepers {
		keepers[i] = leaseclient.New(l.nodes, fmt.Sprint("many-", i))
		defer keepers[i].Close()
		all.Go(func() {
			for n := i; n < manyLeases; n += manyHolders {
				slots <- struct{}{}
				_, err := keepers[i].Acquire(context.Background(), leaseclient.AcquireOptions{Name: fmt.Sprint("many/", n), TTL: manyTTL, Wait: true})
				<-slots
				if err != nil {
					failed <- err
					return
				}
			}
		})
	}
	all.Wait()
	select {
	case err := <-failed:
		return err
	default:
	}
	var from, to struct{ Last uint64 }
	if !l.c.GetJSON(lead, "/status", &from) {
		return errors.New("no status")
	}
	cpu, at := cpuOf(l.pids[lead]), time.Now()
	time.Sleep(2 * manyTTL)
	took := time.Since(at).Seconds()
	if !l.c.GetJSON(lead, "/status", &to) || lead != l.c.WaitForLeader() {
		return errors.New("the leader has changed")
	}
	l.note("log entries in 100 s, 10000 leases of 300 holders kept alive|"+l.x.name, float64(to.Last-from.Last)/took*100)
	l.note("leader's CPU in thousandths of a core, 10000 leases of 300 holders kept alive|"+l.x.name, (cpuOf(l.pids[lead])-cpu).Seconds()/took*1000)
	l.note("leader's resident bytes a lease, 10000 leases|"+l.x.name, float64(memoryOf(l.pids[lead])-before)/manyLeases)
	var list []struct{ Holder string }
	if !l.c.GetJSON(lead, "/lease", &list) {
		return errors.New("no list")
	}
	held := 0
	for _, x := range list {
		if strings.HasPrefix(x.Holder, "many-") {
			held++
		}
	}
	l.note("of 10000 leases held at the end|"+l.x.name, float64(held))
	return nil
}

// cpuOf is what a process has used.
func cpuOf(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	var user, system int64
	fmt.Sscan(f[11], &user)
	fmt.Sscan(f[12], &system)
	return time.Duration(user+system) * time.Second / clockTicks
}

// clockTicks of /proc a second, as Linux shows them to all programs.
const clockTicks = 100

// memoryOf is the resident memory of a process, in bytes.
func memoryOf(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	fmt.Sscan(string(text), &size, &resident)
	return resident * int64(os.Getpagesize())
}
