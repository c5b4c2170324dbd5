package testrig

import (
	"os"
	"path/filepath"
)

// WipeDir removes a node's store directory. The node must not be running.
func (c *Cluster) WipeDir(node int) {
	if err := os.RemoveAll(c.Dirs[node]); err != nil {
		c.T.Fatalf("remove store directory: %v", err)
	}
}

// InjectFault makes the file operations in a node's store directory fail. The fault is faultfs.DiskFull,
// FailWrites or FailSyncs, or "" to end the fault. The process reads it from the file DIR.fault, and only
// if it was built with the build tag faults.
func (c *Cluster) InjectFault(node int, fault string) {
	if err := os.WriteFile(c.Dirs[node]+".fault", []byte(fault), 0o600); err != nil {
		c.T.Fatalf("write fault file: %v", err)
	}
}

// CopyDir pauses a running node, copies its store directory, and resumes the node.
func (c *Cluster) CopyDir(node int) (dir string) {
	c.Pause(node)
	defer c.Resume(node)
	dir = filepath.Join(c.T.TempDir(), "copy")
	if err := os.CopyFS(dir, os.DirFS(c.Dirs[node])); err != nil {
		c.T.Fatalf("copy store directory: %v", err)
	}
	return dir
}

// RestoreDir replaces a node's store directory with a copy of dir. The node must not be running.
func (c *Cluster) RestoreDir(node int, dir string) {
	c.WipeDir(node)
	if err := os.CopyFS(c.Dirs[node], os.DirFS(dir)); err != nil {
		c.T.Fatalf("restore store directory: %v", err)
	}
}

// ReplaceDisk kills a node, removes its store directory, and restarts it. It then waits until the
// node's previous disk id is no longer a member.
func (c *Cluster) ReplaceDisk(node int) {
	c.T.Helper()
	var previous struct{ ID string }
	Await(c.T, "the node returns its disk id", func() bool { return c.GetJSON(node, "/self", &previous) })
	c.Kill(node)
	c.WipeDir(node)
	c.Start(node)
	Await(c.T, "the previous disk is no longer a member", func() bool {
		members := c.Members(node)
		_, isMember := members[previous.ID]
		return len(members) > 0 && !isMember
	})
}
