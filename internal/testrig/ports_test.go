package testrig

import (
	"bufio"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// envAllocatePorts is set in the child processes that allocate ports for TestPortsOfTwoProcesses.
const envAllocatePorts = "TESTRIG_TAKE_PORTS"

// portsPerChild is large enough to need several blocks.
const portsPerChild = 2*portsPerBlock + 1

// TestPortsOfTwoProcesses guards against two test processes that allocate the same port.
func TestPortsOfTwoProcesses(t *testing.T) {
	if os.Getenv(envAllocatePorts) != "" {
		printAllocatedAddrs(t)
		return
	}
	allocated := map[string]bool{}
	for range 2 {
		for _, addr := range startAllocatingProcess(t) {
			require.False(t, allocated[addr], "address %s is allocated twice", addr)
			allocated[addr] = true
		}
	}
	require.Len(t, allocated, 2*portsPerChild)
}

// startAllocatingProcess starts a child process that allocates ports and reserves them until the test ends.
// It returns the addresses.
func startAllocatingProcess(t *testing.T) (addrs []string) {
	command := exec.Command(os.Args[0], "-test.run=^TestPortsOfTwoProcesses$")
	command.Env = append(os.Environ(), envAllocatePorts+"=1")
	command.Stderr = os.Stderr
	stdin, err := command.StdinPipe()
	require.NoError(t, err)
	stdout, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		stdin.Close()
		command.Wait()
	})
	lines := bufio.NewScanner(stdout)
	for range portsPerChild {
		require.True(t, lines.Scan(), "the child process has exited")
		addr := lines.Text()
		require.True(t, strings.HasPrefix(addr, "127.0.0.1:"), addr)
		addrs = append(addrs, addr)
	}
	return addrs
}

// printAllocatedAddrs runs in the child process. It allocates addresses, prints them, and waits until its standard
// input is closed. All child processes try the same block first.
func printAllocatedAddrs(t *testing.T) {
	processPorts.firstBlock = 0
	for range portsPerChild {
		os.Stdout.WriteString(FreeAddr(t) + "\n")
	}
	os.Stdin.Read(make([]byte, 1))
}

// TestPortsOnce guards against a port that is allocated twice while other ports are free, and against ports outside of
// the range for tests.
func TestPortsOnce(t *testing.T) {
	pool := &portPool{lockDir: t.TempDir(), firstBlock: portBlocks - 1}
	ports := allocateUntilReuse(t, pool)
	require.Len(t, ports, (portBlocks-blocksLeftFree)*portsPerBlock, "number of ports of a process without competition")
	for _, port := range ports {
		require.GreaterOrEqual(t, port, 20000)
		require.LessOrEqual(t, port, 31999)
	}
	for _, want := range ports[1:] {
		port, err := pool.allocatePort()
		require.NoError(t, err)
		require.Equal(t, want, port, "ports are reused in the order of their allocation")
	}
}

// allocateUntilReuse allocates ports until the pool returns the first one again. It returns the distinct ports in order.
func allocateUntilReuse(t *testing.T, pool *portPool) (ports []int) {
	allocated := map[int]bool{}
	for {
		port, err := pool.allocatePort()
		require.NoError(t, err)
		if allocated[port] {
			require.Equal(t, ports[0], port)
			return ports
		}
		allocated[port] = true
		ports = append(ports, port)
	}
}

// TestPortShares guards against a process that gets no port because other processes have reserved all blocks, and
// against one that allocates a port of another process when no block is free.
func TestPortShares(t *testing.T) {
	dir := t.TempDir()
	allocated := map[int]bool{}
	pools := []*portPool{{lockDir: dir}}
	for range blocksLeftFree / minBlocksPerProcess {
		pools = append(pools, &portPool{lockDir: dir})
	}
	for i, pool := range pools {
		ports := allocateUntilReuse(t, pool)
		require.GreaterOrEqual(t, len(ports), minBlocksPerProcess*portsPerBlock, "number of ports of process %d", i)
		for _, port := range ports {
			require.False(t, allocated[port], "port %d is allocated by two processes", port)
			allocated[port] = true
		}
	}
	latePool := &portPool{lockDir: dir}
	_, err := latePool.allocatePort()
	require.ErrorIs(t, err, errNoPortBlock)
	require.ErrorContains(t, err, dir)

	freed := pools[1].reserved[3]
	require.NoError(t, freed.lock.Close())
	port, err := latePool.allocatePort()
	require.NoError(t, err)
	require.Equal(t, freed.firstPort, port)
	runtime.KeepAlive(pools) // the garbage collector closes a lock file that is no longer referenced
}

// TestPortInUse guards against returning an address that another program already listens on.
func TestPortInUse(t *testing.T) {
	pool := &portPool{lockDir: os.TempDir(), firstBlock: processPorts.firstBlock}
	first, err := pool.listen()
	require.NoError(t, err)
	defer first.Close()
	pool.nextPort = 0
	second, err := pool.listen()
	require.NoError(t, err)
	defer second.Close()
	require.NotEqual(t, first.Addr(), second.Addr())
	require.Greater(t, portOf(t, second), portOf(t, first))
}

func portOf(t *testing.T, listener net.Listener) int {
	_, text, err := net.SplitHostPort(listener.Addr().String())
	require.NoError(t, err)
	port, err := strconv.Atoi(text)
	require.NoError(t, err)
	return port
}
