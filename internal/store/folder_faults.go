//go:build faults

package store

import (
	"os"
	"strings"

	"oxbowbridge/internal/durable"
	"oxbowbridge/internal/durable/faultfs"
	"oxbowbridge/internal/durable/vfs"
	"oxbowbridge/internal/raftdisk"
)

// openFolder of the test build opens a folder that fails as the file beside it, whose
// name ends in ".fault", says: "full", "write" or "sync".
func openFolder(dir string) (*raftdisk.Disk, *durable.Report, error) {
	real, err := vfs.NewDir(dir)
	if err != nil {
		return nil, nil, err
	}
	return raftdisk.OpenFS(&faultfs.Over{FS: real, Cue: func() string {
		text, _ := os.ReadFile(dir + ".fault") // none is none
		return strings.TrimSpace(string(text))
	}})
}
