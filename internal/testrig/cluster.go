package testrig

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"syscall"
)

// Process is a running process of the program.
type Process interface {
	// Signal sends a signal.
	Signal(os.Signal) error
	// Kill ends the process at once, and waits for its end.
	Kill()
	// Log is what the process has logged.
	Log() string
}

// Peer is a node of the store, as a configuration names it.
type Peer struct {
	Name  string `json:"name"`
	Raft  string `json:"raft"`  // address
	Admin string `json:"admin"` // address
	Zone  string `json:"zone,omitempty"`
}

// Cluster is a number of services with a replicated store. Methods take a node as its
// index in Peers.
type Cluster struct {
	T     T
	Peers []Peer
	// Dirs are the folders of the nodes' stores.
	Dirs []string
	// Founders is how many of the peers are in the configuration; the others join.
	Founders int
	// StoreFields are further fields of each node's store section.
	StoreFields map[string]any
	// Launch starts the process of a node with its store section.
	Launch func(node int, store map[string]any) Process

	links map[direction]linkPair
	nodes []Process // nil if never started
}

// NewCluster returns a cluster of which nothing runs yet. Nodes beyond the founders join.
func NewCluster(t T, founders, nodes int) *Cluster {
	c := &Cluster{T: t, Founders: founders, StoreFields: map[string]any{}, nodes: make([]Process, nodes)}
	for i := range nodes {
		c.Peers = append(c.Peers, Peer{Name: fmt.Sprint("s", i), Raft: FreeAddr(t), Admin: FreeAddr(t)})
		c.Dirs = append(c.Dirs, filepath.Join(t.TempDir(), "store"))
	}
	return c
}

// StoreConfig is a node's store section of the configuration. It reaches its peers
// through the links, if there are any.
func (c *Cluster) StoreConfig(node int) map[string]any {
	var peers []Peer
	for j, p := range c.Peers[:c.Founders] {
		if pair, ok := c.links[direction{node, j}]; ok {
			p.Raft = pair.raft.Addr
			p.Admin = pair.admin.Addr
		}
		peers = append(peers, p)
	}
	section := map[string]any{"node": c.Peers[node].Name, "dir": c.Dirs[node], "peers": peers}
	if node >= c.Founders {
		self := c.Peers[node]
		self.Name = "" // the section has it
		section["self"] = self
	}
	maps.Copy(section, c.StoreFields)
	return section
}

// Bootstrap starts the founders, and waits for a leader.
func (c *Cluster) Bootstrap() {
	for i := range c.Founders {
		c.Start(i)
	}
	c.WaitForLeader()
}

// Start starts a node with the folder that it has.
func (c *Cluster) Start(node int) { c.nodes[node] = c.Launch(node, c.StoreConfig(node)) }

// Process is a node's last process.
func (c *Cluster) Process(node int) Process { return c.nodes[node] }

// Kill ends a node at once.
func (c *Cluster) Kill(node int) { c.nodes[node].Kill() }

// KillAll ends all nodes that were started.
func (c *Cluster) KillAll() {
	for _, p := range c.nodes {
		if p != nil {
			p.Kill()
		}
	}
}

// Pause stops a node's process until Resume.
func (c *Cluster) Pause(node int) { c.nodes[node].Signal(syscall.SIGSTOP) }

// Resume continues a paused node.
func (c *Cluster) Resume(node int) { c.nodes[node].Signal(syscall.SIGCONT) }
