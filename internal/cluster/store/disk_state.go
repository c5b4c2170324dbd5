package store

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/raftstorage"
)

// Keys of the values that a node stores beside its log (raftstorage.PutLocal). The stored names are part
// of the disk format and must not change. The cluster's ID is stored under kv.ClusterIDKey. The last good
// version of a replicated key is stored under that key (SaveLastGood).
const (
	diskIDKey         = "disk"   // the disk's identity
	startCountKey     = "starts" // how often the folder was opened, in decimal
	replacementKey    = "joiner" // present if the folder replaced another one, or got a new identity
	peerWatermarksKey = "seen"   // watermarks of the peers' disks, as JSON
	divergedKey       = "apart"  // present if the state differed from that of most voters
)

// diskIDBytes is the length of a disk identity before hexadecimal encoding.
const diskIDBytes = 8

// diskState is what a node's disk held when an incarnation started. It is immutable.
type diskState struct {
	storage   *raftstorage.Storage
	local     diskidentity.LocalDisk
	addresses map[string]string // addresses of the members in the disk's log, by member ID
}

// readDiskState reads the disk's identity, or creates one, and increments the start count.
func (s *Store) readDiskState(storage *raftstorage.Storage) (*diskState, error) {
	diskID, err := readDiskID(storage)
	if err != nil {
		return nil, err
	}
	starts, err := incrementStartCount(storage)
	if err != nil {
		return nil, err
	}
	replacement, err := storage.GetLocal(replacementKey)
	if err != nil {
		return nil, fmt.Errorf("joiner flag: %w", err)
	}
	local := diskidentity.LocalDisk{
		ID:                diskidentity.MemberID(s.self.Name, diskID),
		Cluster:           s.clusterID.get(),
		RequiredAttesters: s.cfg.RequiredAttesters,
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
	local.InitialMembers = s.cfg.initialMembers()
	conf, err := storage.Configuration()
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	local.ConfigIndex = conf.Index
	local.Members, local.Voters = memberIDs(conf)
	// The log of an earlier version identifies members by their names alone.
	if _, ok := findServer(conf, s.self.Name); ok {
		local.ID = s.self.Name
	}
	return &diskState{storage: storage, local: local, addresses: memberAddresses(conf)}, nil
}

func readDiskID(storage *raftstorage.Storage) (string, error) {
	id, err := storage.GetLocal(diskIDKey)
	if err != nil {
		return "", fmt.Errorf("identity of the disk: %w", err)
	}
	if id == nil {
		return createDiskID(storage)
	}
	return string(id), nil
}

func createDiskID(storage *raftstorage.Storage) (string, error) {
	id := randomHex(diskIDBytes)
	if err := storage.PutLocal(diskIDKey, []byte(id)); err != nil {
		return "", fmt.Errorf("give the disk an identity: %w", err)
	}
	return id, nil
}

// incrementStartCount adds one to the stored number of starts, and returns the new number.
func incrementStartCount(storage *raftstorage.Storage) (starts uint64, err error) {
	value, err := storage.GetLocal(startCountKey)
	if err == nil && value != nil {
		starts, err = strconv.ParseUint(string(value), 10, 64)
	}
	if err != nil {
		return 0, fmt.Errorf("starts: %w", err)
	}
	starts++
	if err := storage.PutLocal(startCountKey, strconv.AppendUint(nil, starts, 10)); err != nil {
		return 0, fmt.Errorf("count start: %w", err)
	}
	return starts, nil
}

// renewDiskID gives a disk a new identity, so that votes and acknowledgments under the old identity do not
// count for it. The log is retained, so that most of it need not be transferred again.
func renewDiskID(storage *raftstorage.Storage, name string) (memberID string, err error) {
	diskID, err := createDiskID(storage)
	if err == nil {
		err = storage.PutLocal(replacementKey, []byte("1"))
	}
	return diskidentity.MemberID(name, diskID), err
}

// randomHex returns n random bytes in hexadecimal.
func randomHex(n int) string {
	b := make([]byte, n)
	rand.Read(b)
	return hex.EncodeToString(b)
}
