package tests

import (
	"syscall"
	"time"

	"oxbowbridge/internal/storage/durable/faultfs"
	"oxbowbridge/internal/testrig"
)

// soakFault is a fault of one node or of one contender for the lease.
type soakFault struct {
	name  string
	begin func()
	end   func()
}

// drawFaults draws one fault of a node and, in half of the rounds, a concurrent fault of a contender.
func (s *storeSoak) drawFaults() []soakFault {
	nodes := s.nodeFaults(s.rng.IntN(storeSoakNodes))
	drawn := []soakFault{nodes[s.rng.IntN(len(nodes))]}
	if s.rng.IntN(2) == 0 {
		holders := s.holderFaults()
		drawn = append(drawn, holders[s.rng.IntN(len(holders))])
	}
	return drawn
}

func (s *storeSoak) nodeFaults(node int) []soakFault {
	cut := testrig.LinkMode{Cut: true}
	slow := testrig.LinkMode{Delay: 15 * time.Millisecond}
	linked := func(name string, from, to testrig.LinkMode) soakFault {
		return soakFault{name: name, begin: func() { s.SetNodeLinks(node, from, to) }, end: s.HealLinks}
	}
	disk := func(name, fault string) soakFault {
		return soakFault{name: name, begin: func() { s.InjectFault(node, fault) }, end: func() { s.InjectFault(node, "") }}
	}
	return []soakFault{
		{name: "node killed", begin: func() { s.Kill(node) }, end: func() { s.Start(node) }},
		{name: "node stopped", begin: func() { s.Pause(node) }, end: func() { s.Resume(node) }},
		{name: "leader killed", begin: func() { node = s.WaitForLeader(); s.Kill(node) }, end: func() { s.Start(node) }},
		{name: "leader stopped", begin: func() { node = s.WaitForLeader(); s.Pause(node) }, end: func() { s.Resume(node) }},
		{name: "all killed", begin: func() { s.forAllNodes(s.Kill) }, end: func() { s.forAllNodes(s.Start) }},
		linked("node cut off", cut, cut),
		linked("node's messages stalled", testrig.LinkMode{StallRequests: true}, testrig.LinkMode{}),
		linked("links slow", slow, slow),
		disk("disk full", faultfs.DiskFull),
		disk("disk fails syncs", faultfs.FailSyncs),
	}
}

func (s *storeSoak) forAllNodes(do func(node int)) {
	for node := range storeSoakNodes {
		do(node)
	}
}

// holderFaults are faults of one contender, which may be the lease holder.
func (s *storeSoak) holderFaults() []soakFault {
	holder := s.contest.contenders[s.rng.IntN(len(s.contest.contenders))]
	return []soakFault{
		{name: "contender stopped with its command", begin: func() { holder.signalTree(syscall.SIGSTOP) }, end: func() { holder.signalTree(syscall.SIGCONT) }},
		{name: "contender stopped without its command", begin: func() { holder.signalLeaseProcess(syscall.SIGSTOP) }, end: func() { holder.signalLeaseProcess(syscall.SIGCONT) }},
		{name: "contender killed", begin: func() { holder.signalLeaseProcess(syscall.SIGKILL) }, end: func() {}},
		{name: "contender cut off", begin: func() { holder.setLinks(testrig.LinkMode{Cut: true}) }, end: func() { holder.setLinks(testrig.LinkMode{}) }},
	}
}
