package tests

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const (
	// envBusyThreads makes this test binary, started as a process of its own, run only busyThreads with this
	// many threads on the CPU in envBusyCPU.
	envBusyThreads = "OXBOWBRIDGE_TEST_BUSY_THREADS"
	envBusyCPU     = "OXBOWBRIDGE_TEST_BUSY_CPU"
	// busyTime is the maximum time for which the threads use the CPU.
	busyTime = 2 * time.Second
	// busyStartPoll is the interval at which the number of started threads is polled.
	busyStartPoll = time.Millisecond
)

// busyThreads is the main function of the busy process. It prints a line once all threads are pinned to the
// CPU, where they block until standard input closes.
func busyThreads(count, cpu string) int {
	threads, countErr := strconv.Atoi(count)
	cpuNumber, cpuErr := strconv.Atoi(cpu)
	if countErr != nil || cpuErr != nil {
		return 1
	}
	runtime.GOMAXPROCS(threads + runtime.NumCPU()) // a busy thread occupies a processor of the Go runtime
	var started, pinned atomic.Int64
	var done sync.WaitGroup
	for range threads {
		done.Go(func() {
			runtime.LockOSThread()
			if pinThread(0, cpuNumber) == nil {
				pinned.Add(1)
			}
			started.Add(1)
			unix.Read(0, make([]byte, 1)) // blocks in the kernel, which wakes all threads at once
			for end := time.Now().Add(busyTime); time.Now().Before(end); {
			}
		})
	}
	for started.Load() < int64(threads) {
		time.Sleep(busyStartPoll)
	}
	if pinned.Load() < int64(threads) {
		return 1
	}
	fmt.Println("ready")
	done.Wait()
	return 0
}

// startBusyThreads starts a process whose threads use a CPU from the call of begin to the call of end. All
// threads start using it at once.
func startBusyThreads(t *testing.T, threads, cpu int) (begin, end func()) {
	busy := exec.Command(os.Args[0])
	busy.Env = append(os.Environ(), fmt.Sprint(envBusyThreads, "=", threads), fmt.Sprint(envBusyCPU, "=", cpu))
	stdin, err := busy.StdinPipe()
	require.NoError(t, err)
	stdout, err := busy.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, busy.Start())
	end = func() {
		busy.Process.Kill()
		busy.Wait()
	}
	t.Cleanup(end)
	_, err = stdout.Read(make([]byte, 1))
	require.NoError(t, err, "the busy threads have not started")
	return func() { stdin.Close() }, end
}

// pinThread pins a thread to one CPU; thread 0 is the calling one.
func pinThread(threadID, cpu int) error {
	var set unix.CPUSet
	set.Set(cpu)
	return unix.SchedSetaffinity(threadID, &set)
}

// lastCPU returns the highest CPU that this process may run on.
func lastCPU(t *testing.T) int {
	var allowed unix.CPUSet
	require.NoError(t, unix.SchedGetaffinity(0, &allowed))
	last := 0
	for cpu := range len(allowed) * strconv.IntSize {
		if allowed.IsSet(cpu) {
			last = cpu
		}
	}
	return last
}
