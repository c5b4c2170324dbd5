package testrig

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"syscall"
)

// Process is a running oxbowbridge process.
type Process interface {
	Signal(os.Signal) error
	// Kill sends SIGKILL to the process and waits until it has exited.
	Kill()
	// Log returns the log output of the process.
	Log() string
}

// Peer is a node of the replicated store, as it is written in a configuration file.
type Peer struct {
	Name  string `json:"name"`
	Raft  string `json:"raft"`  // address of the Raft port
	Admin string `json:"admin"` // address of the admin port
	Zone  string `json:"zone,omitempty"`
}

// Cluster is a set of oxbowbridge processes that share a replicated store. Its methods identify a node by
// its index in Peers.
type Cluster struct {
	T     T
	Peers []Peer
	// Dirs are the store directories of the nodes.
	Dirs []string
	// Founders is the number of nodes, from index 0, that bootstrap the cluster. The peers list of each
	// configuration contains only these nodes; all other nodes join later.
	Founders int
	// StoreFields are additional fields for the store section of each node's configuration.
	StoreFields map[string]any
	// Launch starts the process of a node with the given store section in its configuration.
	Launch func(node int, store map[string]any) Process

	links map[direction]linkPair
	nodes []Process // by node; nil if the node was never started
}

// NewCluster returns a cluster whose nodes are not started yet. The first nodes are the founders; the
// others join the cluster when they start.
func NewCluster(t T, founders, nodes int) *Cluster {
	c := &Cluster{T: t, Founders: founders, StoreFields: map[string]any{}, nodes: make([]Process, nodes)}
	for i := range nodes {
		c.Peers = append(c.Peers, Peer{Name: fmt.Sprint("s", i), Raft: FreeAddr(t), Admin: FreeAddr(t)})
		c.Dirs = append(c.Dirs, filepath.Join(t.TempDir(), "store"))
	}
	return c
}

// StoreConfig returns the store section of a node's configuration. If AddLinks was called, the peer
// addresses are those of the links.
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
		self.Name = "" // the section's field "node" has the name
		section["self"] = self
	}
	maps.Copy(section, c.StoreFields)
	return section
}

// Bootstrap starts the founders and waits until they have elected a leader.
func (c *Cluster) Bootstrap() {
	for i := range c.Founders {
		c.Start(i)
	}
	c.WaitForLeader()
}

// Start starts a node with its existing store directory.
func (c *Cluster) Start(node int) { c.nodes[node] = c.Launch(node, c.StoreConfig(node)) }

// Process returns the process that was started last for a node.
func (c *Cluster) Process(node int) Process { return c.nodes[node] }

// Kill sends SIGKILL to a node's process and waits until it has exited.
func (c *Cluster) Kill(node int) { c.nodes[node].Kill() }

// KillAll kills the processes of all nodes that were started.
func (c *Cluster) KillAll() {
	for _, p := range c.nodes {
		if p != nil {
			p.Kill()
		}
	}
}

// Pause suspends a node's process with SIGSTOP until Resume is called.
func (c *Cluster) Pause(node int) { c.nodes[node].Signal(syscall.SIGSTOP) }

// Resume continues a paused node's process with SIGCONT.
func (c *Cluster) Resume(node int) { c.nodes[node].Signal(syscall.SIGCONT) }
