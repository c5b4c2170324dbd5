package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"oxbowbridge/internal/cluster/leaseclient"
)

// Parameters of the measurement with many leases.
const (
	manyHolders      = 300
	manyLeaseCount   = 10000
	manyTTL          = 10 * time.Second
	manyHolderPrefix = "many-"
	// maxParallelAcquires is the maximum number of concurrent acquire requests.
	maxParallelAcquires = 32
	// logEntriesPeriodSeconds is the period that the number of log entries is reported for.
	logEntriesPeriodSeconds = 100
)

// manyLeases keeps many leases of many holders alive, and measures the CPU time, the memory and the log
// entries that they cost the leader.
func (l *leaseBench) manyLeases() error {
	leader := l.cluster.WaitForLeader()
	memoryBefore := residentBytes(l.pids[leader])
	managers := make([]*leaseclient.Manager, manyHolders)
	for i := range managers {
		managers[i] = leaseclient.New(l.admins, fmt.Sprint(manyHolderPrefix, i))
		defer managers[i].Close()
	}
	if err := acquireMany(managers); err != nil {
		return err
	}
	var before, after struct{ Last uint64 }
	if !l.cluster.GetJSON(leader, "/status", &before) {
		return errors.New("read status of the leader: no valid response")
	}
	cpuBefore := cpuTime(l.pids[leader])
	started := time.Now()
	time.Sleep(2 * manyTTL)
	seconds := time.Since(started).Seconds()
	if !l.cluster.GetJSON(leader, "/status", &after) || leader != l.cluster.WaitForLeader() {
		return errors.New("the leader changed during the measurement, or did not return its status")
	}
	cpuSeconds := (cpuTime(l.pids[leader]) - cpuBefore).Seconds()
	memoryGrowth := residentBytes(l.pids[leader]) - memoryBefore
	entriesPerSecond := float64(after.Last-before.Last) / seconds
	l.record("log entries in 100 s, 10000 leases of 300 holders kept alive", entriesPerSecond*logEntriesPeriodSeconds)
	l.record("leader's CPU in thousandths of a core, 10000 leases of 300 holders kept alive", cpuSeconds/seconds*1000)
	l.record("leader's resident bytes a lease, 10000 leases", float64(memoryGrowth)/manyLeaseCount)
	held, err := l.countHeld(leader)
	if err != nil {
		return err
	}
	l.record("of 10000 leases held at the end", float64(held))
	return nil
}

// acquireMany acquires all leases. It distributes them evenly over the managers.
func acquireMany(managers []*leaseclient.Manager) error {
	var running sync.WaitGroup
	failed := make(chan error, len(managers))
	slots := make(chan struct{}, maxParallelAcquires)
	for i, manager := range managers {
		running.Go(func() {
			for n := i; n < manyLeaseCount; n += len(managers) {
				slots <- struct{}{}
				options := leaseclient.AcquireOptions{Name: fmt.Sprint("many/", n), TTL: manyTTL, Wait: true}
				_, err := manager.Acquire(context.Background(), options)
				<-slots
				if err != nil {
					failed <- err
					return
				}
			}
		})
	}
	running.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// countHeld returns how many leases the holders of this measurement hold, according to a node.
func (l *leaseBench) countHeld(node int) (held int, err error) {
	var leases []struct{ Holder string }
	if !l.cluster.GetJSON(node, "/lease", &leases) {
		return 0, errors.New("list leases: no valid response")
	}
	for _, lease := range leases {
		if strings.HasPrefix(lease.Holder, manyHolderPrefix) {
			held++
		}
	}
	return held, nil
}
