package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"oxbowbridge/internal/cluster/leaseclient"
	"oxbowbridge/internal/testrig"
)

const leaseNodes = 5

// leaseBench measures leases on a cluster of five nodes.
type leaseBench struct {
	*bench
	cluster *testrig.Cluster
	built   build
	pids    []int    // process ids, by node
	admins  []string // admin addresses, by node
}

// measureLeases measures the leases of one build.
func (b *bench) measureLeases(built build) error {
	return b.withCluster(built, leaseNodes, func(c *testrig.Cluster) error {
		l := &leaseBench{bench: b, cluster: c, built: built}
		for i, peer := range c.Peers {
			l.admins = append(l.admins, peer.Admin)
			l.pids = append(l.pids, c.Process(i).(daemon).Process.Pid)
		}
		for _, measure := range []func() error{l.handovers, l.contention, l.manyLeases} {
			if err := measure(); err != nil {
				return err
			}
		}
		return nil
	})
}

func (l *leaseBench) record(metricName string, value float64) {
	l.metrics.add(metricName, l.built.name, value)
}

// Parameters of the handover measurement.
const (
	handoverTTL  = 2 * time.Second
	handoverName = "killed"
	// waiterHeadStart is the delay between the acquire request of the next holder and the kill of the
	// current one. It ensures that the next holder already waits for the lease.
	waiterHeadStart = 200 * time.Millisecond
	// Each kill happens handoverStepMillis later in the lease period than the previous one, modulo
	// handoverSpreadMillis. This spreads the kills over one second of the period.
	handoverStepMillis   = 137
	handoverSpreadMillis = 1000
)

// handovers repeatedly kills the holder of a lease and measures the time until the next holder is granted
// the lease.
func (l *leaseBench) handovers() error {
	for n := range l.outages {
		elapsed, err := l.handover(n)
		if err != nil {
			return err
		}
		metricName := fmt.Sprintf("ms from a holder's SIGKILL to the next grant, TTL %d", handoverTTL.Milliseconds())
		l.record(metricName, float64(elapsed.Milliseconds()))
	}
	return nil
}

// handover measures one handover. The time within the lease period at which it kills the holder depends on n.
func (l *leaseBench) handover(n int) (elapsed time.Duration, err error) {
	holder := exec.Command(l.built.path, "lease", "run", handoverName, "--ttl", handoverTTL.String(),
		"--nodes", strings.Join(l.admins, ","), "--", "sleep", "60")
	holder.Stdout = os.Stdout
	holder.Stderr = os.Stderr
	if err := holder.Start(); err != nil {
		return 0, err
	}
	testrig.Await(l.cluster.T, "the lease has a holder", func() bool {
		return l.cluster.GetJSON(0, "/lease/"+handoverName, &struct{}{})
	})
	offsetMillis := n * handoverStepMillis % handoverSpreadMillis
	time.Sleep(handoverTTL/2 + time.Duration(offsetMillis)*time.Millisecond)
	next := leaseclient.New(l.admins, leaseclient.NewHolderName())
	granted := make(chan error, 1)
	go func() {
		options := leaseclient.AcquireOptions{Name: handoverName, TTL: handoverTTL, Wait: true}
		handle, err := next.Acquire(context.Background(), options)
		granted <- err
		if err == nil {
			handle.Release(context.Background())
		}
	}()
	time.Sleep(waiterHeadStart)
	holder.Process.Signal(syscall.SIGKILL)
	started := time.Now()
	if err := <-granted; err != nil {
		return 0, err
	}
	elapsed = time.Since(started)
	holder.Wait()
	next.Close()
	return elapsed, nil
}

// contention measures contenders that acquire and release leases. They either compete for one lease or use
// one lease each.
func (l *leaseBench) contention() error {
	for _, c := range []struct {
		contenders int
		oneName    bool
	}{
		{contenders: 1, oneName: true},
		{contenders: 64, oneName: true},
		{contenders: 64, oneName: false},
	} {
		if err := l.contend(c.contenders, c.oneName); err != nil {
			return err
		}
	}
	return nil
}

// contentionTTL is much longer than a contender holds its lease, so that no lease expires.
const contentionTTL = 10 * time.Second

// contend measures one combination of the number of contenders and the number of leases.
func (l *leaseBench) contend(contenders int, oneName bool) error {
	situation := fmt.Sprintf("%02d contenders, a name each", contenders)
	if oneName {
		situation = fmt.Sprintf("%02d contenders, one name", contenders)
	}
	managers := make([]*leaseclient.Manager, contenders)
	for i := range managers {
		managers[i] = leaseclient.New(l.admins, fmt.Sprintf("bench-%d-%v-%d", contenders, oneName, i))
		defer managers[i].Close()
	}
	rate, err := l.load(contenders, 2*l.loadDuration, func(id, _ int) error {
		name := "contended"
		if !oneName {
			name = fmt.Sprint("contender/", id)
		}
		started := time.Now()
		options := leaseclient.AcquireOptions{Name: name, TTL: contentionTTL, Wait: true}
		handle, err := managers[id].Acquire(context.Background(), options)
		if err != nil {
			return err
		}
		acquired := time.Now()
		err = handle.Release(context.Background())
		l.record("us to acquire, "+situation, float64(acquired.Sub(started).Microseconds()))
		l.record("us to release, "+situation, float64(time.Since(acquired).Microseconds()))
		return err
	})
	if err != nil {
		return err
	}
	l.record("grants/s, "+situation, rate)
	return nil
}
