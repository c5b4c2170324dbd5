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
	// readClients and catchUpClients are the clients of these loads.
	readClients    = 8
	catchUpClients = 64
	// retryPause is the pause between two attempts to write.
	retryPause = 2 * time.Millisecond
	// leaderSettleTime is the time in which a new leader is known to all nodes.
	leaderSettleTime = 300 * time.Millisecond
)

// storeBench is what is measured of the store, at three nodes.
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
		knowsMembers := len(c.Members(c.WaitForLeader())) == storeNodes
		if b.missedWrites > 0 && knowsMembers {
			return s.catchUp()
		}
		return nil
	})
}

func (s *storeBench) record(measured string, value float64) {
	s.figures.add(measured, s.buildName, value)
}

func (s *storeBench) recordMillis(measured string, since time.Time) {
	s.record(measured, float64(time.Since(since).Milliseconds()))
}

// hundredDigits is a JSON string that ends with a number.
func hundredDigits(i int) string { return fmt.Sprintf(`"%0100d"`, i) }

// writesAndReads measures loads of writes at the leader, and of reads at a follower.
func (s *storeBench) writesAndReads() error {
	leader := s.cluster.WaitForLeader()
	for _, clients := range []int{1, 8, 64} {
		rate, err := s.load(clients, s.loadDuration, func(client, i int) error {
			return s.put(s.cluster, leader, fmt.Sprint("k", client), hundredDigits(i))
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

// outage loses the leader, and measures until a write at another node is acknowledged.
func (s *storeBench) outage(measured string, lose, restore func(node int)) {
	leader := s.cluster.WaitForLeader()
	time.Sleep(leaderSettleTime)
	lose(leader)
	began := time.Now()
	for attempt := 1; s.put(s.cluster, (leader+1+attempt%2)%storeNodes, "after", "1") != nil; attempt++ {
		time.Sleep(retryPause)
	}
	s.recordMillis(measured, began)
	restore(leader)
	testrig.Await(s.cluster.T, "the node to be up to date", func() bool {
		return s.cluster.GetJSON(leader, "/store/after", new(int))
	})
}

// catchUp has a node miss writes and return, and then lose its disk, while a client
// goes on writing.
func (s *storeBench) catchUp() error {
	leader := s.cluster.WaitForLeader()
	node := (leader + 1) % storeNodes
	s.writeDuring("at rest", leader, func() { time.Sleep(s.loadDuration) })
	s.cluster.Kill(node)
	if err := s.writeMissed(leader); err != nil {
		return err
	}
	s.writeDuring("while a node catches up", leader, func() {
		began := time.Now()
		s.cluster.Start(node)
		testrig.Await(s.cluster.T, "the node to be up to date", func() bool {
			return s.cluster.GetJSON(node, "/store/beside", new(int))
		})
		s.recordMillis(fmt.Sprintf("ms from the start of a node that misses %d writes to a fresh read", s.missedWrites), began)
	})
	s.writeDuring("while a lost disk is replaced", leader, func() {
		began := time.Now()
		s.cluster.ReplaceDisk(node)
		s.cluster.WaitForVoters(0, 1, 2)
		s.recordMillis("ms from a lost disk to full strength", began)
	})
	return nil
}

// writeMissed writes as many values as a node is to miss.
func (s *storeBench) writeMissed(leader int) error {
	var remaining atomic.Int64
	remaining.Store(int64(s.missedWrites))
	_, err := s.load(catchUpClients, time.Hour, func(client, i int) error {
		if remaining.Add(-1) < 0 {
			return io.EOF
		}
		return s.put(s.cluster, leader, fmt.Sprint("k", client), hundredDigits(i))
	})
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// writeDuring measures writes at the leader while a function runs.
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
			began := time.Now()
			if s.put(s.cluster, leader, "beside", "1") == nil {
				s.record("us of a write "+situation, float64(time.Since(began).Microseconds()))
			}
			time.Sleep(retryPause)
		}
	}()
	run()
	close(stop)
	<-ended
}
