//go:build !faults

package store

import (
	"oxbowbridge/internal/cluster/raftstorage"
	"oxbowbridge/internal/storage/durable"
)

// openFolder opens a storage folder in the operating system's file system.
func openFolder(dir string) (*raftstorage.Storage, *durable.Report, error) {
	return raftstorage.Open(dir)
}
