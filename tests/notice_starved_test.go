package tests

import (
	"cmp"
	"encoding/json"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// servicesWithBusyThread is the number of services, each with one thread that waits for a CPU. It is about
	// twice the number of threads of a service, because it varies which thread receives the signal and which
	// ones pass it on.
	servicesWithBusyThread = 16
	// busyThreadCount threads on one CPU delay a thread that wakes up there by up to 0.5 s.
	busyThreadCount = 150
	// busyLeadTime is the time between the start of the busy threads and the first signal.
	busyLeadTime = 20 * time.Millisecond
)

// TestNoticeThreadStarved: the thread that must receive or pass on SIGTERM waits for a CPU while the other
// threads run. The time of the signal must not be taken as later than when it was sent. The test does not use
// t.Parallel, because anything else on that CPU would wait too.
func TestNoticeThreadStarved(t *testing.T) {
	cpu := lastCPU(t)
	testbeds := make([]*testbed, servicesWithBusyThread)
	for i := range testbeds {
		testbeds[i] = newTestbed(t, nil)
	}
	beginBusy, endBusy := startBusyThreads(t, busyThreadCount, cpu)
	for i, w := range testbeds {
		w.pinOneThread(i, cpu)
	}
	beginBusy()
	time.Sleep(busyLeadTime)
	sentAt := make([]time.Time, len(testbeds))
	for i, w := range testbeds {
		sentAt[i] = time.Now()
		require.NoError(t, w.Signal(syscall.SIGTERM))
	}
	for _, w := range testbeds {
		w.awaitDrainStarted()
	}
	endBusy()
	for i, w := range testbeds {
		noticedAt := w.noticedUnixMS()
		assert.LessOrEqual(t, noticedAt, sentAt[i].UnixMilli(), "service %d: counted from %d ms after it was sent", i, noticedAt-sentAt[i].UnixMilli())
	}
}

// pinOneThread pins one thread of the process to a CPU: the main thread for number 0, the others in the order
// of their IDs.
func (s *service) pinOneThread(number, cpu int) {
	threads, err := os.ReadDir("/proc/" + strconv.Itoa(s.cmd.Process.Pid) + "/task")
	require.NoError(s.t, err)
	slices.SortFunc(threads, func(a, b os.DirEntry) int {
		return cmp.Or(len(a.Name())-len(b.Name()), cmp.Compare(a.Name(), b.Name()))
	})
	threadID, err := strconv.Atoi(threads[number%len(threads)].Name())
	require.NoError(s.t, err)
	require.NoError(s.t, pinThread(threadID, cpu))
}

// noticedUnixMS returns the logged time of the termination signal, in Unix milliseconds.
func (s *service) noticedUnixMS() int64 {
	for line := range strings.Lines(s.log()) {
		if !strings.Contains(line, `"msg":"drain started"`) {
			continue
		}
		var fields struct {
			NoticedUnixMS int64 `json:"noticed_unix_ms"`
		}
		require.NoError(s.t, json.Unmarshal([]byte(line), &fields))
		return fields.NoticedUnixMS
	}
	require.Fail(s.t, "no \"drain started\" line in the log")
	return 0
}
