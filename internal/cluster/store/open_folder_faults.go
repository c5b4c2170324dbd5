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

// openFolder opens a storage folder and injects the fault that the file DIR.fault beside the folder names:
// "full", "write" or "sync". It replaces the production version in builds with the tag faults.
func openFolder(dir string) (*raftstorage.Storage, *durable.Report, error) {
	folder, err := vfs.OpenDir(dir)
	if err != nil {
		return nil, nil, err
	}
	return raftstorage.OpenFS(&faultfs.Injector{FS: folder, ActiveFault: func() string {
		fault, _ := os.ReadFile(dir + ".fault") // without the file, no fault is injected
		return strings.TrimSpace(string(fault))
	}})
}
