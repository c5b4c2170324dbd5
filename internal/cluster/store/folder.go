//go:build !faults

package store

import (
	"oxbowbridge/internal/cluster/raftstorage"
	"oxbowbridge/internal/storage/durable"
)

func openFolder(dir string) (*raftstorage.Storage, *durable.Report, error) {
	return raftstorage.Open(dir)
}
