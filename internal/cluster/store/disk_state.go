package store

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/raftstorage"
)

// Keys of the values that a node stores beside its log (raftstorage.PutLocal). The stored names are
// part of the disk format and stay. The cluster's ID is stored under kv.ClusterKey, and the good
// version of a key under that key (SaveLastGood).
const (
	localDiskID         = "disk"   // the disk's identity
	localStarts         = "starts" // how often the folder was opened, in decimal
	localReplacement    = "joiner" // present if the folder replaced another one, or has a new identity
	localPeerWatermarks = "seen"   // watermarks of the peers' disks, as JSON
	localDiverged       = "apart"  // present if the state was found to differ from the majority's
)

// diskIDBytes is the length of a disk's identity before it is written in hexadecimal.
const diskIDBytes = 8

// diskState is what a node's disk held when an incarnation began. It is immutable.
type diskState struct {
	storage   *raftstorage.Storage
	local     diskidentity.LocalDisk
	addresses map[string]string // of the members in its log, by member ID
}

// readDiskState reads a disk's identity, or gives it one, and counts the start.
func (s *Store) readDiskState(storage *raftstorage.Storage) (*diskState, error) {
	diskID, err := readDiskID(storage)
	if err != nil {
		return nil, err
	}
	starts, err := countStart(storage)
	if err != nil {
		return nil, err
	}
	replacement, err := storage.GetLocal(localReplacement)
	if err != nil {
		return nil, fmt.Errorf("joiner flag: %w", err)
	}
	local := diskidentity.LocalDisk{
		ID:                diskidentity.MemberID(s.self.Name, diskID),
		Cluster:           s.clusterID.get(),
		RequiredAttesters: s.cfg.Attesters,
	}
	if local.Watermark, err = storage.Watermark(); err != nil {
		return nil, fmt.Errorf("watermark: %w", err)
	}
	local.Watermark.Starts = starts
	if local.Cluster == "" {
		if local.LoggedCluster, err = loggedClusterID(storage); err != nil {
			return nil, err
		}
	}
	local.Empty = local.Watermark.LastIndex == 0
	local.Fresh = local.Empty && replacement == nil && local.Cluster == ""
	local.InitialMembers = s.cfg.founders()
	conf, err := storage.Configuration()
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	local.ConfigIndex = conf.Index
	local.Members, local.Voters = memberIDs(conf)
	// A log that an earlier version began knows members by their names alone.
	if _, ok := findServer(conf, s.self.Name); ok {
		local.ID = s.self.Name
	}
	return &diskState{storage: storage, local: local, addresses: memberAddresses(conf)}, nil
}

func readDiskID(storage *raftstorage.Storage) (string, error) {
	id, err := storage.GetLocal(localDiskID)
	if err != nil {
		return "", fmt.Errorf("identity of the disk: %w", err)
	}
	if id == nil {
		return newDiskID(storage)
	}
	return string(id), nil
}

func newDiskID(storage *raftstorage.Storage) (string, error) {
	id := randomHex(diskIDBytes)
	if err := storage.PutLocal(localDiskID, []byte(id)); err != nil {
		return "", fmt.Errorf("give the disk an identity: %w", err)
	}
	return id, nil
}

// countStart adds one to the number of starts, and returns it.
func countStart(storage *raftstorage.Storage) (starts uint64, err error) {
	text, err := storage.GetLocal(localStarts)
	if err == nil && text != nil {
		starts, err = strconv.ParseUint(string(text), 10, 64)
	}
	if err != nil {
		return 0, fmt.Errorf("starts: %w", err)
	}
	starts++
	if err := storage.PutLocal(localStarts, strconv.AppendUint(nil, starts, 10)); err != nil {
		return 0, fmt.Errorf("count start: %w", err)
	}
	return starts, nil
}

// renewDiskID gives a disk a new identity: votes and acknowledgments under the old one do not count
// for it. The log stays, as most of it need not be sent again.
func renewDiskID(storage *raftstorage.Storage, name string) (memberID string, err error) {
	diskID, err := newDiskID(storage)
	if err == nil {
		err = storage.PutLocal(localReplacement, []byte("1"))
	}
	return diskidentity.MemberID(name, diskID), err
}

// randomHex is n random bytes in hexadecimal.
func randomHex(n int) string {
	b := make([]byte, n)
	rand.Read(b)
	return hex.EncodeToString(b)
}
