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
	// servicesWithBusyThread is how many services each have one thread that waits for a core: twice as many as
	// a service has threads, as a rule. Which thread takes the signal and which ones pass it on varies.
	servicesWithBusyThread = 16
	// busyThreadCount have a thread that wakes up beside them wait for up to 0.5 s.
	busyThreadCount = 150
	// busyLeadTime is the time from their begin to the first signal.
	busyLeadTime = 20 * time.Millisecond
)

// TestNoticeThreadStarved: one thread of the process waits for a core, and the others go on without the
// notice, which that thread was to take or to pass on; it must not count from later than when it was sent.
// It takes no part in t.Parallel: what else runs on that CPU waits too.
func TestNoticeThreadStarved(t *testing.T) {
	cpu := lastCPU(t)
	worlds := make([]*testbed, servicesWithBusyThread)
	for i := range worlds {
		worlds[i] = newTestbed(t, nil)
	}
	beginBusy, endBusy := startBusyThreads(t, busyThreadCount, cpu)
	for i, w := range worlds {
		w.pinOneThread(i, cpu)
	}
	beginBusy()
	time.Sleep(busyLeadTime)
	sentAt := make([]time.Time, len(worlds))
	for i, w := range worlds {
		sentAt[i] = time.Now()
		require.NoError(t, w.Signal(syscall.SIGTERM))
	}
	for _, w := range worlds {
		w.awaitDrainStarted()
	}
	endBusy()
	for i, w := range worlds {
		noticedAt := w.noticedUnixMS()
		assert.LessOrEqual(t, noticedAt, sentAt[i].UnixMilli(), "service %d: counted from %d ms after it was sent", i, noticedAt-sentAt[i].UnixMilli())
	}
}

// pinOneThread has one thread of the process run on one CPU only: the main one for 0, and the others
// in the order of their ids.
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

// noticedUnixMS is the time from which the notice counts, as the log has it, in milliseconds.
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
	require.Fail(s.t, "no notice in the log")
	return 0
}
