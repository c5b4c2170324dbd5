package testrig

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
)

// Test ports are below the system's ephemeral port range. Otherwise an outgoing connection could occupy a
// port before the process under test listens on it.
const (
	firstPort     = 20000
	portsPerBlock = 50
	portBlocks    = 240
	// minBlocksPerProcess is how many blocks a process may reserve without regard to other processes.
	minBlocksPerProcess = 15
	// blocksLeftFree is the number of free blocks that a process with minBlocksPerProcess blocks leaves to
	// other processes. It is enough for eight processes.
	blocksLeftFree = 8 * minBlocksPerProcess
)

// errNoPortBlock is returned if other processes have reserved all port blocks.
var errNoPortBlock = errors.New("no port block is free")

// processPorts is the port pool of this process. Its first block is random because programs that were
// started by an earlier test process may still send to the ports of that process.
var processPorts = &portPool{lockDir: os.TempDir(), firstBlock: rand.IntN(portBlocks)}

// FreeAddr returns a loopback address that no process listens on. As long as this process runs, no other
// process that uses this package gets the same address. FreeAddr returns an address again only after it has
// handed out all ports that this process may reserve: at least minBlocksPerProcess blocks, and half of all
// blocks if no other process uses the package. It then starts again with the first port.
func FreeAddr(t T) string {
	listener, err := ListenFree()
	if err != nil {
		t.Fatalf("%v", err)
	}
	listener.Close()
	return listener.Addr().String()
}

// ListenFree listens on an address that is chosen as in FreeAddr. With a port that the system chooses, the
// listener could receive data that a program still sends to a listener that was just closed.
func ListenFree() (net.Listener, error) {
	return processPorts.listen()
}

// portPool hands out ports from the blocks that this process has reserved.
type portPool struct {
	lockDir    string // directory of the lock files of the blocks
	firstBlock int    // index of the first block to try

	mu       sync.Mutex
	reserved []portBlock // in the order of reservation
	nextPort int         // index into the ports of all reserved blocks
}

// portBlock is a block of ports. It is reserved as long as its lock file is open.
type portBlock struct {
	firstPort int
	lock      *os.File
}

// listen listens on the next port that no program uses.
func (p *portPool) listen() (listener net.Listener, err error) {
	for range portBlocks * portsPerBlock {
		port, allocateErr := p.allocatePort()
		if allocateErr != nil {
			return nil, allocateErr
		}
		listener, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if !errors.Is(err, syscall.EADDRINUSE) {
			return listener, err
		}
	}
	return nil, fmt.Errorf("all ports that this process has reserved are in use: %w", err)
}

// allocatePort returns the next port of the reserved blocks. It does not check whether the port is in use.
func (p *portPool) allocatePort() (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nextPort == len(p.reserved)*portsPerBlock {
		if err := p.extendOrReuseLocked(); err != nil {
			return 0, err
		}
	}
	block := p.reserved[p.nextPort/portsPerBlock]
	port := block.firstPort + p.nextPort%portsPerBlock
	p.nextPort++
	return port, nil
}

// extendOrReuseLocked is called when all ports were handed out. It reserves another block, or restarts at
// the first port if the remaining free blocks must be left to other processes. The caller must hold mu.
func (p *portPool) extendOrReuseLocked() error {
	if len(p.reserved) >= minBlocksPerProcess && p.countFreeBlocks() <= blocksLeftFree {
		p.nextPort = 0
		return nil
	}
	block, err := p.reserveBlock()
	if err != nil {
		return err
	}
	p.reserved = append(p.reserved, block)
	return nil
}

// countFreeBlocks returns the number of blocks that no process has reserved.
func (p *portPool) countFreeBlocks() int {
	free := 0
	for index := range portBlocks {
		if lock, err := lockFile(p.lockPath(index)); err == nil {
			lock.Close()
			free++
		}
	}
	return free
}

// reserveBlock reserves a block that no process has reserved yet.
func (p *portPool) reserveBlock() (portBlock, error) {
	for i := range portBlocks {
		index := (p.firstBlock + i) % portBlocks
		lock, err := lockFile(p.lockPath(index))
		if err == nil {
			return portBlock{firstPort: firstPort + index*portsPerBlock, lock: lock}, nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) {
			return portBlock{}, err
		}
	}
	return portBlock{}, fmt.Errorf("%w: test processes have locked all %d blocks (files %s), this process %d of them; run fewer test processes at once",
		errNoPortBlock, portBlocks, filepath.Join(p.lockDir, "oxbowbridge-test-ports-*.lock"), len(p.reserved))
}

func (p *portPool) lockPath(index int) string {
	return filepath.Join(p.lockDir, fmt.Sprintf("oxbowbridge-test-ports-%d.lock", firstPort+index*portsPerBlock))
}

// lockFile opens a file with an exclusive lock, which is released when the file is closed or the process
// exits. It returns syscall.EWOULDBLOCK if the file is already locked.
func lockFile(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_RDONLY|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		return nil, fmt.Errorf("lock %s: %w", path, err)
	}
	return file, nil
}
