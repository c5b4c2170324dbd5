//go:build !faults

package store

import (
	"oxbowbridge/internal/durable"
	"oxbowbridge/internal/raftdisk"
)

func openFolder(dir string) (*raftdisk.Disk, *durable.Report, error) { return raftdisk.Open(dir) }
