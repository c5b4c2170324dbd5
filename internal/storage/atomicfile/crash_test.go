package atomicfile

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"unsafe"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	crashPathVariable = "ATOMICFILE_CRASH_PATH" // if set, the test binary writes this file and is killed by a signal
	crashAfterBytes   = 4 << 10
	crashDataBytes    = 64 << 10
)

func TestMain(m *testing.M) {
	if path := os.Getenv(crashPathVariable); path != "" {
		crashInWrite(path)
	}
	os.Exit(m.Run())
}

// crashInWrite writes a file that exceeds RLIMIT_FSIZE: the kernel writes the bytes up to
// the limit, and kills the process by SIGXFSZ at the next write.
func crashInWrite(path string) {
	resetSignal(syscall.SIGXFSZ)
	setLimit(syscall.RLIMIT_CORE, 0)
	setLimit(syscall.RLIMIT_FSIZE, crashAfterBytes)
	err := WriteNew(path, make([]byte, crashDataBytes))
	panic(err) // the signal was not delivered
}

// resetSignal restores the default action of a signal. The Go runtime ignores SIGXFSZ.
func resetSignal(signal syscall.Signal) {
	var defaultAction struct{ handler, flags, restorer, mask uint64 } // the kernel's struct sigaction
	_, _, errno := syscall.RawSyscall6(syscall.SYS_RT_SIGACTION, uintptr(signal),
		uintptr(unsafe.Pointer(&defaultAction)), 0, unsafe.Sizeof(defaultAction.mask), 0, 0)
	if errno != 0 {
		panic(errno)
	}
}

func setLimit(resource int, limit uint64) {
	if err := syscall.Setrlimit(resource, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
		panic(err)
	}
}

// TestCrashInWrite: after a process was killed during a write, no file exists under the
// final name, and the name can still be written.
func TestCrashInWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), crashPathVariable+"="+path)
	out, err := child.CombinedOutput()
	var exit *exec.ExitError
	require.ErrorAs(t, err, &exit, "%s", out)
	status := exit.Sys().(syscall.WaitStatus)
	require.True(t, status.Signaled() && status.Signal() == syscall.SIGXFSZ, "%s: %s", err, out)
	assert.NoFileExists(t, path)
	require.NoError(t, WriteNew(path, []byte("whole")))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, "whole", string(data))
}

// TestNothingLeftBeside: no temporary file remains after a call that returned, with or
// without an error.
func TestNothingLeftBeside(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "file")
	require.NoError(t, WriteNew(path, []byte("first")))
	require.Error(t, WriteNew(path, []byte("second")))
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Len(t, files, 1)
	assert.Equal(t, "file", files[0].Name())
}
