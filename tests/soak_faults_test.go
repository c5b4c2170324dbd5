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

// maxCutBytes is the maximum number of bytes that pass before a link is cut. It is more than the longest command.
const maxCutBytes = 400

// injectFaults injects one fault after the other for soakDuration, then removes all faults.
func (s *soakRun) injectFaults() {
	rng := s.rng(streamFaults)
	for end := time.Now().Add(*soakDuration); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * s.plan.meanFaultInterval))))
		s.injectFault(rng)
		s.measure()
	}
	s.runner.clearFaults()
	s.records.link.SetMode(testrig.LinkMode{})
	s.registry.setMode(registryHealthy)
}

func (s *soakRun) injectFault(rng *rand.Rand) {
	switch kind := rng.IntN(24); {
	case kind < 9:
		s.runner.linkFaults++
		s.runner.drawLink(rng).SetMode(testrig.LinkMode{CutAfterBytes: 1 + rng.IntN(maxCutBytes)})
	case kind < 11:
		s.runner.stallTraffic(rng)
	case kind < 12:
		s.runner.setMaxCommandDelay(time.Duration(rng.IntN(4)) * time.Millisecond)
	case kind < 13:
		s.runner.interruptListener(rng)
	case kind < 15:
		for range 1 + rng.IntN(3) {
			s.changeRunnerAddress()
			time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
		}
	case kind < 16:
		s.pause(time.Duration(rng.IntN(120)) * time.Millisecond)
	case kind < 18:
		s.runner.drawLink(rng).SetMode(testrig.LinkMode{ResponseGarbage: s.runner.drawMalformed(rng)})
	case kind < 21:
		s.injectRecordsFault(rng)
	default:
		s.injectRegistryFault(rng)
	}
}

// malformedReplies are lines that are not valid replies.
var malformedReplies = []string{"\r\n", "WHAT\r\n", "\x00\xff\r\n", "0 DONE -1\r\n"}

func (s *soakRun) injectRecordsFault(rng *rand.Rand) {
	switch rng.IntN(3) {
	case 0:
		s.records.link.SetMode(testrig.LinkMode{Cut: true})
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		s.records.link.SetMode(testrig.LinkMode{})
	case 1:
		s.records.link.SetMode(testrig.LinkMode{ResponseGarbage: malformedReplies[rng.IntN(len(malformedReplies))]})
	default:
		s.records.addLink(s.t)
		s.reconfigure("records", s.records.link.Addr)
	}
}

func (s *soakRun) injectRegistryFault(rng *rand.Rand) {
	mode := registryModes[rng.IntN(len(registryModes))]
	if mode == registryMoved {
		s.registry.changeAddress()
		s.reconfigure("lookup", s.registry.addr)
		return
	}
	s.registry.setMode(mode)
}

// changeRunnerAddress moves the engine, or the upstreams, to other addresses.
func (s *soakRun) changeRunnerAddress() {
	s.runner.addLinks()
	s.runner.configure(s.cfg)
	s.writeConfig()
	s.Signal(syscall.SIGHUP)
}

// reconfigure changes a configuration value and makes the program reload its file.
func (s *soakRun) reconfigure(key string, value any) {
	s.cfg[key] = value
	s.writeConfig()
	s.Signal(syscall.SIGHUP)
}

// pause stops the process for a time with SIGSTOP.
func (s *soakRun) pause(span time.Duration) {
	startedAt := time.Now()
	s.Signal(syscall.SIGSTOP)
	time.Sleep(span)
	s.Signal(syscall.SIGCONT)
	s.stalls.recordStall(time.Since(startedAt))
}

// measure records the peak memory and descriptor use of the process.
func (s *soakRun) measure() {
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
