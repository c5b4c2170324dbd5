package tests

import (
	"debug/elf"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestDeployedForm: the executable that the deploy file builds needs a dynamic loader and the C library, so
// that a library can be preloaded. The run command replaces itself with the executable.
func TestDeployedForm(t *testing.T) {
	file, err := elf.Open(programPath)
	require.NoError(t, err)
	defer file.Close()
	assert.True(t, slices.ContainsFunc(file.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }), "no dynamic interpreter")
	libs, err := file.ImportedLibraries()
	require.NoError(t, err)
	assert.Contains(t, libs, "libc.so.6")
	assert.Equal(t, "exec bin/oxbowbridge", deployFileValue("run"))
}

// TestOptionalFeaturesOff: with the platform's plain configuration the service listens at one address, connects only
// to the three configured servers, opens no Unix socket and no file for writing, and starts no process.
// Optional features are off unless their section is present.
func TestOptionalFeaturesOff(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, func(cfg object) { delete(cfg, "ajp") })
	for _, class := range classNames {
		assert.Equal(t, 200, w.responseStatus(class, "call"))
	}
	got := inspectProcess(t, w.cmd.Process.Pid)
	assert.Equal(t, []string{w.fcgiAddr}, got.listenAddrs)
	assert.Empty(t, got.unixSockets)
	assert.Empty(t, got.writableFiles)
	assert.Empty(t, got.children)
	for _, addr := range got.remoteAddrs {
		assert.Contains(t, []string{w.engine.addr, w.records.addr}, addr)
	}
	withAJP := newTestbed(t, nil) // shows that the check sees a listener that a section turns on
	assert.Equal(t, 2, len(inspectProcess(t, withAJP.cmd.Process.Pid).listenAddrs))
}

// openResources are the sockets, files and child processes of a process.
type openResources struct{ listenAddrs, remoteAddrs, unixSockets, writableFiles, children []string }

// inspectProcess reads a process's open resources from /proc.
func inspectProcess(t *testing.T, pid int) (out openResources) {
	proc := fmt.Sprint("/proc/", pid)
	fds, err := filepath.Glob(proc + "/fd/*")
	require.NoError(t, err)
	ownInodes := map[string]bool{}
	for _, fd := range fds {
		to, err := os.Readlink(fd)
		if err != nil {
			continue // the descriptor has been closed
		}
		if inode, ok := strings.CutPrefix(to, "socket:["); ok {
			ownInodes[strings.TrimSuffix(inode, "]")] = true
			continue
		}
		info, err := os.ReadFile(proc + "/fdinfo/" + filepath.Base(fd))
		_, flags, _ := strings.Cut(string(info), "flags:\t")
		flags, _, _ = strings.Cut(flags, "\n")
		if mode, perr := strconv.ParseUint(flags, 8, 64); err == nil && perr == nil && mode&3 != 0 && strings.HasPrefix(to, "/") && !strings.HasPrefix(to, "/dev/") {
			out.writableFiles = append(out.writableFiles, to)
		}
	}
	rows := func(name string, inode int, each func([]string)) {
		text, err := os.ReadFile(proc + "/net/" + name)
		if os.IsNotExist(err) {
			return
		}
		require.NoError(t, err)
		for line := range strings.Lines(string(text)) {
			if f := strings.Fields(line); len(f) > inode && ownInodes[f[inode]] {
				each(f)
			}
		}
	}
	for _, name := range []string{"tcp", "tcp6"} {
		rows(name, 9, func(f []string) {
			switch local, remote := parseProcAddress(f[1]), parseProcAddress(f[2]); {
			case f[3] == "0A":
				out.listenAddrs = append(out.listenAddrs, local)
			case !slices.Contains(out.listenAddrs, local):
				out.remoteAddrs = append(out.remoteAddrs, remote)
			}
		})
	}
	rows("unix", 6, func(f []string) { out.unixSockets = append(out.unixSockets, strings.Join(f, " ")) })
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	require.NoError(t, err)
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if _, rest, ok := strings.Cut(string(text), ") "); err == nil && ok && strings.Fields(rest)[1] == fmt.Sprint(pid) {
			out.children = append(out.children, string(text))
		}
	}
	return out
}

// parseProcAddress converts an address in /proc/net/tcp to host:port.
func parseProcAddress(hex string) string {
	var a, b, c, d byte
	var port int
	if n, _ := fmt.Sscanf(hex, "%02X%02X%02X%02X:%04X", &d, &c, &b, &a, &port); n != 5 || len(hex) != 13 {
		return hex
	}
	return fmt.Sprintf("%d.%d.%d.%d:%d", a, b, c, d, port)
}
