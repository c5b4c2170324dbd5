package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"oxbowbridge/internal/testrig"
)

const (
	storeNodes = 3
	// readClients is the number of clients that read, catchUpClients the number of clients that write what a
	// node misses.
	readClients    = 8
	catchUpClients = 64
	// retryPause is the pause between two attempts to write.
	retryPause = 2 * time.Millisecond
	// leaderSettleTime is the time after an election in which all nodes learn of the new leader.
	leaderSettleTime = 300 * time.Millisecond
)

// storeBench measures the store on a cluster of three nodes.
type storeBench struct {
	*bench
	cluster   *testrig.Cluster
	buildName string
}

// measureStore measures the store of one build.
func (b *bench) measureStore(built build) error {
	return b.withCluster(built, storeNodes, func(c *testrig.Cluster) error {
		s := &storeBench{bench: b, cluster: c, buildName: built.name}
		if err := s.writesAndReads(); err != nil {
			return err
		}
		for range b.outages {
			s.outage("ms from the leader's SIGKILL to a write", c.Kill, c.Start)
			s.outage("ms from the leader's SIGSTOP to a write", c.Pause, c.Resume)
		}
		reportsMembers := len(c.Members(c.WaitForLeader())) == storeNodes
		if b.missedWrites > 0 && reportsMembers {
			return s.catchUp()
		}
		return nil
	})
}

func (s *storeBench) record(metricName string, value float64) {
	s.metrics.add(metricName, s.buildName, value)
}

func (s *storeBench) recordMillis(metricName string, since time.Time) {
	s.record(metricName, float64(time.Since(since).Milliseconds()))
}

// hundredDigitValue returns a JSON string of 100 digits: the number i with leading zeros.
func hundredDigitValue(i int) string { return fmt.Sprintf(`"%0100d"`, i) }

// writesAndReads measures the throughput of writes at the leader and of reads at a follower.
func (s *storeBench) writesAndReads() error {
	leader := s.cluster.WaitForLeader()
	for _, clients := range []int{1, 8, 64} {
		rate, err := s.load(clients, s.loadDuration, func(client, i int) error {
			return s.put(s.cluster, leader, fmt.Sprint("k", client), hundredDigitValue(i))
		})
		if err != nil {
			return err
		}
		s.record(fmt.Sprintf("writes/s, %02d clients", clients), rate)
	}
	follower := s.cluster.Peers[(leader+1)%storeNodes]
	for _, query := range []string{"", "?local=1"} {
		rate, err := s.load(readClients, s.loadDuration, func(client, _ int) error {
			return s.request(http.MethodGet, "http://"+follower.Admin+fmt.Sprint("/store/k", client, query), "")
		})
		if err != nil {
			return err
		}
		s.record(fmt.Sprintf("reads/s at a follower, %d clients, GET%s", readClients, query), rate)
	}
	return nil
}

// outage stops the leader with the function stop and measures the time until another node acknowledges a
// write. It then restores the stopped node and waits until the node is up to date.
func (s *storeBench) outage(metricName string, stop, restore func(node int)) {
	leader := s.cluster.WaitForLeader()
	time.Sleep(leaderSettleTime)
	stop(leader)
	started := time.Now()
	for attempt := 1; s.put(s.cluster, (leader+1+attempt%2)%storeNodes, "after", "1") != nil; attempt++ {
		time.Sleep(retryPause)
	}
	s.recordMillis(metricName, started)
	restore(leader)
	testrig.Await(s.cluster.T, "the restored node is up to date", func() bool {
		return s.cluster.GetJSON(leader, "/store/after", new(int))
	})
}

// catchUp measures a node that restarts after it has missed writes, and a node whose lost disk is replaced.
// It also measures the writes of a client meanwhile.
func (s *storeBench) catchUp() error {
	leader := s.cluster.WaitForLeader()
	node := (leader + 1) % storeNodes
	s.writeDuring("at rest", leader, func() { time.Sleep(s.loadDuration) })
	s.cluster.Kill(node)
	if err := s.writeMissed(leader); err != nil {
		return err
	}
	s.writeDuring("while a node catches up", leader, func() {
		started := time.Now()
		s.cluster.Start(node)
		testrig.Await(s.cluster.T, "the restarted node is up to date", func() bool {
			return s.cluster.GetJSON(node, "/store/beside", new(int))
		})
		s.recordMillis(fmt.Sprintf("ms from the start of a node that misses %d writes to a fresh read", s.missedWrites), started)
	})
	s.writeDuring("while a lost disk is replaced", leader, func() {
		started := time.Now()
		s.cluster.ReplaceDisk(node)
		s.cluster.WaitForVoters(0, 1, 2)
		s.recordMillis("ms from a lost disk to full strength", started)
	})
	return nil
}

// writeMissed writes missedWrites values while a node is stopped.
func (s *storeBench) writeMissed(leader int) error {
	var remaining atomic.Int64
	remaining.Store(int64(s.missedWrites))
	_, err := s.load(catchUpClients, time.Hour, func(client, i int) error {
		if remaining.Add(-1) < 0 {
			return io.EOF
		}
		return s.put(s.cluster, leader, fmt.Sprint("k", client), hundredDigitValue(i))
	})
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// writeDuring measures the latency of writes at the leader while a function runs.
func (s *storeBench) writeDuring(situation string, leader int, run func()) {
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-stop:
				return
			default:
			}
			started := time.Now()
			if s.put(s.cluster, leader, "beside", "1") == nil {
				s.record("us of a write "+situation, float64(time.Since(started).Microseconds()))
			}
			time.Sleep(retryPause)
		}
	}()
	run()
	close(stop)
	<-ended
}
