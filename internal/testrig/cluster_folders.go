package testrig

import (
	"os"
	"path/filepath"
)

// WipeDir removes a node's folder. The node must not run.
func (c *Cluster) WipeDir(node int) {
	if err := os.RemoveAll(c.Dirs[node]); err != nil {
		c.T.Fatalf("wipe folder: %v", err)
	}
}

// InjectFault has a node's folder fail, in a process that was built with the tag
// faults. The fault is faultfs.DiskFull, FailWrites or FailSyncs, or "" to end it. The
// process reads it from the file DIR.fault.
func (c *Cluster) InjectFault(node int, fault string) {
	if err := os.WriteFile(c.Dirs[node]+".fault", []byte(fault), 0o600); err != nil {
		c.T.Fatalf("inject fault: %v", err)
	}
}

// CopyDir copies a running node's folder, while it is paused.
func (c *Cluster) CopyDir(node int) (dir string) {
	c.Pause(node)
	defer c.Resume(node)
	dir = filepath.Join(c.T.TempDir(), "copy")
	if err := os.CopyFS(dir, os.DirFS(c.Dirs[node])); err != nil {
		c.T.Fatalf("copy folder: %v", err)
	}
	return dir
}

// RestoreDir replaces a node's folder by a copy. The node must not run.
func (c *Cluster) RestoreDir(node int, dir string) {
	c.WipeDir(node)
	if err := os.CopyFS(c.Dirs[node], os.DirFS(dir)); err != nil {
		c.T.Fatalf("restore folder: %v", err)
	}
}

// ReplaceDisk wipes a node's folder while the node is killed, and waits until the
// members have forgotten the disk that it had.
func (c *Cluster) ReplaceDisk(node int) {
	c.T.Helper()
	var old struct{ ID string }
	Await(c.T, "its id", func() bool { return c.GetJSON(node, "/self", &old) })
	c.Kill(node)
	c.WipeDir(node)
	c.Start(node)
	Await(c.T, "the old disk to be forgotten", func() bool {
		members := c.Members(node)
		_, remembered := members[old.ID]
		return len(members) > 0 && !remembered
	})
}
