package tests

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"oxbowbridge/internal/testrig"
)

// maxCutBytes is how many bytes at most pass before a cut: more than the longest command.
const maxCutBytes = 400

// injectFaults has one fault follow the other until the time is over.
func (s *soak) injectFaults() {
	rng := s.rng(streamFaults)
	for end := time.Now().Add(*soakTime); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * s.plan.cutMean))))
		s.injectFault(rng)
		s.measure()
	}
	s.engine.setSlow(0)
	s.engine.link().SetMode(testrig.LinkMode{})
	s.records.link.SetMode(testrig.LinkMode{})
}

func (s *soak) injectFault(rng *rand.Rand) {
	switch kind := rng.IntN(16); {
	case kind < 9:
		s.engine.cuts++
		s.engine.link().SetMode(testrig.LinkMode{CutAfterBytes: 1 + rng.IntN(maxCutBytes)})
	case kind < 10: // answers are lost, then the connection
		s.engine.cuts++
		s.engine.link().SetMode(testrig.LinkMode{HoldResponses: true})
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		s.engine.link().SetMode(testrig.LinkMode{Cut: true})
		s.engine.link().SetMode(testrig.LinkMode{})
	case kind < 11: // commands are late, or lost with the connection
		s.engine.link().SetMode(testrig.LinkMode{HoldRequests: true})
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		s.engine.link().SetMode(testrig.LinkMode{Cut: rng.IntN(2) == 0})
		s.engine.link().SetMode(testrig.LinkMode{})
	case kind < 12:
		s.engine.setSlow(time.Duration(rng.IntN(4)) * time.Millisecond)
	case kind < 13:
		s.records.link.SetMode(testrig.LinkMode{Cut: true})
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		s.records.link.SetMode(testrig.LinkMode{})
	case kind < 15:
		for range 1 + rng.IntN(3) {
			s.moveEngine()
			time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
		}
	default:
		s.pause(time.Duration(rng.IntN(120)) * time.Millisecond)
	}
}

// moveEngine gives the same engine another address, by SIGHUP.
func (s *soak) moveEngine() {
	s.engine.addLink()
	s.cfg["engine"] = s.engine.addr()
	s.writeConfig()
	s.Signal(syscall.SIGHUP)
}

// pause stops the process for a while.
func (s *soak) pause(span time.Duration) {
	began := time.Now()
	s.Signal(syscall.SIGSTOP)
	time.Sleep(span)
	s.Signal(syscall.SIGCONT)
	s.stalls.note(time.Since(began))
}

// measure notes the most memory and descriptors that the process has used.
func (s *soak) measure() {
	proc := fmt.Sprintf("/proc/%d/", s.cmd.Process.Pid)
	status, _ := os.ReadFile(proc + "status")
	memory := 0
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			memory, _ = strconv.Atoi(strings.Fields(value)[0])
		}
	}
	descriptors, _ := os.ReadDir(proc + "fd")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peakMemory = max(s.peakMemory, memory)
	s.peakSockets = max(s.peakSockets, len(descriptors))
}
