//go:build faults

package store

import (
	"os"
	"strings"

	"oxbowbridge/internal/cluster/raftstorage"
	"oxbowbridge/internal/storage/durable"
	"oxbowbridge/internal/storage/durable/faultfs"
	"oxbowbridge/internal/storage/durable/vfs"
)

// openFolder of the test build opens a folder that fails as the file beside it, whose
// name ends in ".fault", says: "full", "write" or "sync".
func openFolder(dir string) (*raftstorage.Storage, *durable.Report, error) {
	real, err := vfs.NewDir(dir)
	if err != nil {
		return nil, nil, err
	}
	return raftstorage.OpenFS(&faultfs.Over{FS: real, Cue: func() string {
		text, _ := os.ReadFile(dir + ".fault") // none is none
		return strings.TrimSpace(string(text))
	}})
}
