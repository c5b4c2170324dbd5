// Package testrig plays faults on several processes of the program: links between any two
// of them that are cut, held, delayed, slowed and healed, processes that are killed,
// stopped and continued, folders that are taken away or brought back as they were, and a
// schedule of all that from a seed.
package testrig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Patience is how long any condition may take.
const AwaitTimeout = 20 * time.Second

// T is what the rig needs of a test, or of a tool.
type T interface {
	Helper()
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
	Cleanup(func())
	TempDir() string
}

// Await waits for a condition.
func Await(t T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(AwaitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("never happened: %s", what)
}

var portsGiven atomic.Uint32

// FreePort is an address that nothing listens on. It lies below the ports that
// the system gives to outgoing connections, which could take it meanwhile, and is
// given once.
func FreeAddr(t T) string {
	const first, most = 20000, 12000
	for range most {
		n := portsGiven.Add(1) + uint32(os.Getpid())*97
		addr := fmt.Sprintf("127.0.0.1:%d", first+n%most)
		if ln, err := net.Listen("tcp", addr); err == nil {
			ln.Close()
			return addr
		}
	}
	t.Fatalf("no port is free")
	return ""
}

// Process is a running process of the program.
type Process interface {
	Signal(os.Signal) error
	Kill() // and wait for its end
	Log() string
}

// Peer is a node of the store, as a configuration names it.
type Peer struct {
	Name  string `json:"name"`
	Raft  string `json:"raft"`
	Admin string `json:"admin"`
	Zone  string `json:"zone,omitempty"`
}

// Cluster is services with a store.
type Cluster struct {
	T           T
	Peers       []Peer
	Dirs        []string
	Founders    int            // so many of the peers are in the configuration; the others join
	StoreFields map[string]any // further ones of each node's store section
	Launch      func(node int, store map[string]any) Process

	links map[[2]int][2]*Link // from, to: Raft's and the admin port's
	nodes []Process
}

// NewCluster is one of which nothing runs yet. Nodes beyond the founders join.
func NewCluster(t T, founders, nodes int) *Cluster {
	c := &Cluster{T: t, Founders: founders, StoreFields: map[string]any{}, nodes: make([]Process, nodes)}
	for i := range nodes {
		c.Peers = append(c.Peers, Peer{Name: fmt.Sprint("s", i), Raft: FreeAddr(t), Admin: FreeAddr(t)})
		c.Dirs = append(c.Dirs, filepath.Join(t.TempDir(), "store"))
	}
	return c
}

// Wire puts a link between any two of the founders, for each direction of calls.
func (c *Cluster) AddLinks() {
	c.links = map[[2]int][2]*Link{}
	for i := range c.Founders {
		for j := range c.Founders {
			if i == j {
				continue
			}
			var pair [2]*Link
			for k, to := range []string{c.Peers[j].Raft, c.Peers[j].Admin} {
				l, err := NewLink(to)
				if err != nil {
					c.T.Fatalf("link: %v", err)
				}
				c.T.Cleanup(l.Close)
				pair[k] = l
			}
			c.links[[2]int{i, j}] = pair
		}
	}
}

// Around sets the links from a node, and those to it.
func (c *Cluster) SetLinksAround(node int, from, to LinkMode) {
	for ends, pair := range c.links {
		for _, l := range pair {
			switch node {
			case ends[0]:
				l.SetMode(from)
			case ends[1]:
				l.SetMode(to)
			}
		}
	}
}

// From sets the links from one node to another.
func (c *Cluster) SetLinksFrom(a, b int, m LinkMode) {
	for _, l := range c.links[[2]int{a, b}] {
		l.SetMode(m)
	}
}

// Between sets the links between two nodes, both ways.
func (c *Cluster) SetLinksBetween(a, b int, m LinkMode) {
	c.SetLinksFrom(a, b, m)
	c.SetLinksFrom(b, a, m)
}

// Heal mends all links.
func (c *Cluster) HealLinks() {
	for _, pair := range c.links {
		pair[0].SetMode(LinkMode{})
		pair[1].SetMode(LinkMode{})
	}
}

// Section is a node's part of the configuration.
func (c *Cluster) StoreConfig(node int) map[string]any {
	out := map[string]any{"node": c.Peers[node].Name, "dir": c.Dirs[node]}
	var peers []Peer
	for j, p := range c.Peers[:c.Founders] {
		if pair, ok := c.links[[2]int{node, j}]; ok {
			p.Raft, p.Admin = pair[0].Addr, pair[1].Addr
		}
		peers = append(peers, p)
	}
	if out["peers"] = peers; node >= c.Founders {
		self := c.Peers[node]
		self.Name = "" // it is the node's
		out["self"] = self
	}
	for k, v := range c.StoreFields {
		out[k] = v
	}
	return out
}

// Begin starts the founders, and waits for a leader.
func (c *Cluster) Bootstrap() {
	for i := range c.Founders {
		c.Start(i)
	}
	c.WaitForLeader()
}

// Start starts a node with the folder that it has.
func (c *Cluster) Start(node int) { c.nodes[node] = c.Launch(node, c.StoreConfig(node)) }

// Process is a node's last one.
func (c *Cluster) Process(node int) Process { return c.nodes[node] }

// Kill ends a node at once.
func (c *Cluster) Kill(node int) { c.nodes[node].Kill() }

// KillAll ends all that were started.
func (c *Cluster) KillAll() {
	for _, p := range c.nodes {
		if p != nil {
			p.Kill()
		}
	}
}

// Stop has a node stand still until Continue.
func (c *Cluster) Pause(node int) { c.nodes[node].Signal(syscall.SIGSTOP) }

// Continue has it go on.
func (c *Cluster) Resume(node int) { c.nodes[node].Signal(syscall.SIGCONT) }

// Wipe takes a node's folder away. It must not run.
func (c *Cluster) WipeFolder(node int) {
	if err := os.RemoveAll(c.Dirs[node]); err != nil {
		c.T.Fatalf("wipe: %v", err)
	}
}

// Fault has a node's folder fail, in a process of the test build: "full", "write",
// "sync", or "" for not any more.
func (c *Cluster) InjectFault(node int, cue string) {
	if err := os.WriteFile(c.Dirs[node]+".fault", []byte(cue), 0o600); err != nil {
		c.T.Fatalf("cue: %v", err)
	}
}

// Copy copies a running node's folder, while it stands still.
func (c *Cluster) CopyFolder(node int) (dir string) {
	c.Pause(node)
	defer c.Resume(node)
	dir = filepath.Join(c.T.TempDir(), "copy")
	if err := os.CopyFS(dir, os.DirFS(c.Dirs[node])); err != nil {
		c.T.Fatalf("copy: %v", err)
	}
	return dir
}

// Bring puts a copy in the place of a node's folder. It must not run.
func (c *Cluster) RestoreFolder(node int, dir string) {
	c.WipeFolder(node)
	if err := os.CopyFS(c.Dirs[node], os.DirFS(dir)); err != nil {
		c.T.Fatalf("bring back: %v", err)
	}
}

// HTTP asks one node; code 0 is no answer.
func (c *Cluster) Request(node int, method, path, body string) (code int, text string) {
	req, err := http.NewRequest(method, "http://"+c.Peers[node].Admin+path, strings.NewReader(body))
	if err != nil {
		c.T.Fatalf("request: %v", err)
	}
	res, err := (&http.Client{Timeout: AwaitTimeout}).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	return res.StatusCode, strings.TrimSpace(string(b))
}

// Ask reads a node's JSON answer, and tells whether it was a good one.
func (c *Cluster) GetJSON(node int, path string, to any) bool {
	code, text := c.Request(node, "GET", path, "")
	return code == 200 && json.Unmarshal([]byte(text), to) == nil
}

// Leader waits for a node that says that it leads, other than some.
func (c *Cluster) WaitForLeader(but ...int) (leader int) {
	c.T.Helper()
	Await(c.T, "a leader", func() bool {
		for i := range c.Peers {
			var st struct{ State string }
			if c.nodes[i] != nil && !slices.Contains(but, i) && c.GetJSON(i, "/status", &st) && st.State == "Leader" {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// Put writes a key until it is acknowledged.
func (c *Cluster) Put(node int, key, value string) {
	c.T.Helper()
	Await(c.T, "a write", func() bool {
		code, _ := c.Request(node, "PUT", "/store/"+key, value)
		return code == 204
	})
}

// Has waits until a node answers with a value.
func (c *Cluster) WaitForValue(node int, key, value string) {
	c.T.Helper()
	Await(c.T, fmt.Sprintf("%s=%s on node %d", key, value, node), func() bool {
		code, text := c.Request(node, "GET", "/store/"+key, "")
		return code == 200 && text == value
	})
}

// Equal waits until nodes answer alike: a write of unknown outcome may still come.
func (c *Cluster) WaitForEqual(nodes ...int) {
	c.T.Helper()
	Await(c.T, "equal nodes", func() bool {
		first := ""
		for n, i := range nodes {
			var all map[string]json.RawMessage
			if !c.GetJSON(i, "/store", &all) {
				return false
			}
			for key := range all {
				if strings.HasPrefix(key, "state/") { // services go on to write of themselves
					delete(all, key)
				}
			}
			text, _ := json.Marshal(all)
			if n == 0 {
				first = string(text)
			} else if string(text) != first {
				return false
			}
		}
		return true
	})
}

// Member is a row of the members' table.
type Member struct{ Name, ID, Role, State string }

// Members are those that a node tells of, by id.
func (c *Cluster) Members(node int) map[string]Member {
	var m struct{ Members []Member }
	out := map[string]Member{}
	if c.GetJSON(node, "/members", &m) {
		for _, x := range m.Members {
			out[x.ID] = x
		}
	}
	return out
}

// Replace takes a node's disk away while it is killed, and waits until its new one has the
// place of the old one.
func (c *Cluster) ReplaceDisk(node int) {
	c.T.Helper()
	var was struct{ ID string }
	Await(c.T, "its id", func() bool { return c.GetJSON(node, "/self", &was) })
	c.Kill(node)
	c.WipeFolder(node)
	c.Start(node)
	Await(c.T, "the old disk to be forgotten", func() bool {
		m := c.Members(node)
		_, there := m[was.ID]
		return len(m) > 0 && !there
	})
}

// Strong waits until some nodes have their votes with the disks that they have now, and no
// other one is a member.
func (c *Cluster) WaitForVoters(voters ...int) {
	c.T.Helper()
	Await(c.T, fmt.Sprintf("votes of %v, and no others", voters), func() bool {
		m := c.Members(voters[0])
		for _, v := range voters {
			var self struct{ ID string }
			if !c.GetJSON(v, "/self", &self) {
				return false
			}
			if x := m[self.ID]; x.Role != "voter" || x.State != "up" && x.State != "leader" {
				return false
			}
		}
		return len(m) == len(voters)
	})
}
