//go:build !faults

package store

import (
	"oxbowbridge/internal/cluster/raftstorage"
	"oxbowbridge/internal/storage/durable"
)

// openFolder opens a storage folder of the operating system.
func openFolder(dir string) (*raftstorage.Storage, *durable.Report, error) {
	return raftstorage.Open(dir)
}
