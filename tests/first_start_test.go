package tests

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// damageLog overwrites bytes in the middle of each log file of a stopped node.
func (c *cluster) damageLog(t *testing.T, node int) {
	const damagedBytes = 16
	files, err := filepath.Glob(filepath.Join(c.Dirs[node], "*.log"))
	require.NoError(t, err)
	for _, path := range files {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		for i := len(text) / 3; i < min(len(text)/3+damagedBytes, len(text)); i++ {
			text[i] ^= 0xff
		}
		require.NoError(t, os.WriteFile(path, text, 0o600))
	}
}

// TestFounderFolderSetAside: a founder's folder is damaged before the cluster exists. The test guards against nodes
// that wait forever to join a cluster, also after the folder was removed.
func TestFounderFolderSetAside(t *testing.T) {
	t.Parallel()
	c := newStoppedCluster(t, 3, 3)
	defer c.logDisksOnFailure(t)
	c.Start(1)
	c.waitForLog(t, 1, "must say whether there is a cluster yet")
	c.Kill(1)
	c.damageLog(t, 1)
	for i := range 3 {
		c.Start(i)
	}
	c.waitForLog(t, 1, "storage folder set aside")
	c.waitForLog(t, 0, "took the place of one that can't be trusted; if there never was a cluster, remove it")
	c.Kill(1)
	c.WipeDir(1)
	c.Start(1)
	c.WaitForVoters(0, 1, 2)
	c.Put(0, "note/first", "1")
}

// TestFounderOfOtherCluster: a founder starts with the folder of an earlier cluster. The test guards against nodes
// that wait forever to join that cluster, also after the folder was removed.
func TestFounderOfOtherCluster(t *testing.T) {
	t.Parallel()
	earlier := newRunningCluster(t, nil)
	earlier.Put(0, "note/early", "1")
	earlier.WaitForValue(1, "note/early", "1")
	folder := earlier.CopyDir(1)
	earlier.KillAll()
	c := newStoppedCluster(t, 3, 3)
	defer c.logDisksOnFailure(t)
	c.RestoreDir(1, folder)
	for i := range 3 {
		c.Start(i)
	}
	for _, node := range []int{0, 2} {
		c.waitForLog(t, node, "is of a cluster")
	}
	c.Kill(1)
	c.WipeDir(1)
	c.Start(1)
	c.WaitForVoters(0, 1, 2)
	code, text := c.Request(0, "GET", "/store/note/early", "")
	assert.Equal(t, 404, code, strings.TrimSpace(text))
	c.Put(0, "note/first", "1")
}
