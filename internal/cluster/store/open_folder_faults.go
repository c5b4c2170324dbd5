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

// openFolder of the test build opens a folder that fails as told by the file DIR.fault beside it:
// "full", "write" or "sync".
func openFolder(dir string) (*raftstorage.Storage, *durable.Report, error) {
	folder, err := vfs.OpenDir(dir)
	if err != nil {
		return nil, nil, err
	}
	return raftstorage.OpenFS(&faultfs.Injector{FS: folder, ActiveFault: func() string {
		text, _ := os.ReadFile(dir + ".fault") // a missing file is no fault
		return strings.TrimSpace(string(text))
	}})
}
