package store

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"github.com/hashicorp/raft"
	"go.uber.org/zap"

	"oxbowbridge/internal/cluster/diskidentity"
	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/raftstorage"
	"oxbowbridge/internal/storage/durable"
)

// What a node keeps beside its log.
const (
	localDiskID     = "disk"   // the disk's identity
	localStarts     = "starts" // how often it was opened
	localJoiner     = "joiner" // there if the folder took the place of another
	localWatermarks = "seen"   // marks of other disks
	localDiverged   = "apart"  // there if its state was found to differ from that of most others
	diskBytes       = 8        // of a disk's identity
)

// openStorage opens the node's folder, or makes it. One that is damaged, or whose state differs,
// is set aside, whole, and a new one is begun that never makes a cluster: what it promised,
// others must know.
func (s *Store) openStorage() (*raftstorage.Storage, error) {
	disk, err := s.tryOpenStorage()
	if !errors.Is(err, durable.ErrDamaged) && !errors.Is(err, errDiverged) {
		return disk, err
	}
	aside := ""
	for n := 1; ; n++ {
		aside = fmt.Sprintf("%s.refused-%d", s.cfg.Dir, n)
		if _, serr := os.Lstat(aside); os.IsNotExist(serr) {
			break
		}
	}
	s.log.Error("folder can't be used, it is set aside, and this node becomes a new member", zap.String("aside", aside), zap.Error(err))
	if err := os.Rename(s.cfg.Dir, aside); err != nil {
		return nil, fmt.Errorf("set folder aside: %w", err)
	}
	if disk, err = s.tryOpenStorage(); err != nil {
		return nil, err
	}
	if err := disk.PutLocal(localJoiner, []byte("1")); err != nil {
		disk.Close()
		return nil, fmt.Errorf("mark new folder: %w", err)
	}
	return disk, nil
}

func (s *Store) tryOpenStorage() (*raftstorage.Storage, error) {
	if err := os.MkdirAll(s.cfg.Dir, 0o750); err != nil {
		return nil, fmt.Errorf("dir: %w", err)
	}
	disk, report, err := openFolder(s.cfg.Dir)
	if err != nil {
		return nil, fmt.Errorf("dir: %w", err)
	}
	if report.Loss == durable.TailLoss {
		s.log.Info("unsynced tail of the log cut off", zap.Int64("bytes", report.CutBytes))
	}
	if apart, err := disk.GetLocal(localDiverged); apart != nil || err != nil {
		if err == nil {
			err = errDiverged
		}
		return nil, errors.Join(err, disk.Close())
	}
	return disk, nil
}

// nodeFolder is what a node knows of its disk when it starts.
type nodeFolder struct {
	storage   *raftstorage.Storage
	local     diskidentity.LocalDisk
	addresses map[string]string // of the members in its log
}

// readFolder reads a disk's identity, or gives it one, and counts the start.
func (s *Store) readFolder(disk *raftstorage.Storage) (*nodeFolder, error) {
	f := &nodeFolder{storage: disk}
	id, err := disk.GetLocal(localDiskID)
	if err != nil {
		return nil, fmt.Errorf("identity of the disk: %w", err)
	}
	if id == nil {
		if id, err = newDiskID(disk); err != nil {
			return nil, err
		}
	}
	starts, err := disk.GetLocal(localStarts)
	if err != nil {
		return nil, fmt.Errorf("starts: %w", err)
	}
	count := uint64(0)
	if starts != nil {
		if count, err = strconv.ParseUint(string(starts), 10, 64); err != nil {
			return nil, fmt.Errorf("starts: %w", err)
		}
	}
	count++
	if err := disk.PutLocal(localStarts, strconv.AppendUint(nil, count, 10)); err != nil {
		return nil, fmt.Errorf("count start: %w", err)
	}
	joiner, err := disk.GetLocal(localJoiner)
	if err != nil {
		return nil, fmt.Errorf("marker: %w", err)
	}
	f.local = diskidentity.LocalDisk{ID: diskidentity.MemberID(s.self.Name, string(id)), Cluster: s.identity.get(), Attesters: s.cfg.Attesters}
	if f.local.Watermark, err = disk.Watermark(); err != nil {
		return nil, fmt.Errorf("mark: %w", err)
	}
	f.local.Watermark.Starts = count
	if f.local.Cluster == "" {
		if f.local.LoggedCluster, err = loggedClusterID(disk); err != nil {
			return nil, err
		}
	}
	f.local.Empty = f.local.Watermark.LastIndex == 0
	f.local.Fresh = f.local.Empty && joiner == nil && f.local.Cluster == ""
	if s.cfg.isFounder() {
		for _, p := range s.cfg.Peers {
			f.local.Founders = append(f.local.Founders, p.Name)
		}
	}
	conf, index, err := disk.Configuration()
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	f.local.ConfigIndex = index
	f.local.Members, f.local.Voters = memberIDs(conf)
	f.addresses = memberAddresses(conf)
	// A log that the version before began knows members by their names alone.
	if _, ok := findServer(conf, s.self.Name); ok {
		f.local.ID = s.self.Name
	}
	return f, nil
}

func newDiskID(disk *raftstorage.Storage) ([]byte, error) {
	b := make([]byte, diskBytes)
	rand.Read(b)
	id := []byte(hex.EncodeToString(b))
	if err := disk.PutLocal(localDiskID, id); err != nil {
		return nil, fmt.Errorf("give the disk an identity: %w", err)
	}
	return id, nil
}

// renewIdentity gives a disk a new identity: what it promised before is not counted for it any
// more. Its log stays, as most of it saves being sent again.
func renewIdentity(disk *raftstorage.Storage, name string) (id string, err error) {
	text, err := newDiskID(disk)
	if err == nil {
		err = disk.PutLocal(localJoiner, []byte("1"))
	}
	return diskidentity.MemberID(name, string(text)), err
}

func memberIDs(conf raft.Configuration) (members, voters []string) {
	for _, x := range conf.Servers {
		members = append(members, string(x.ID))
		if x.Suffrage == raft.Voter {
			voters = append(voters, string(x.ID))
		}
	}
	return members, voters
}

// memberAddresses are the members' addresses, as the configuration holds them.
func memberAddresses(conf raft.Configuration) map[string]string {
	out := map[string]string{}
	for _, x := range conf.Servers {
		out[string(x.ID)] = string(x.Address)
	}
	return out
}

func findServer(conf raft.Configuration, id string) (raft.Server, bool) {
	for _, x := range conf.Servers {
		if string(x.ID) == id {
			return x, true
		}
	}
	return raft.Server{}, false
}

// watermarks is what this node has seen of other disks, the highest of each.
type watermarks map[string]diskidentity.Watermark

func readWatermarks(disk *raftstorage.Storage) (watermarks, error) {
	l := watermarks{}
	text, err := disk.GetLocal(localWatermarks)
	if err == nil && text != nil {
		err = json.Unmarshal(text, &l)
	}
	if err != nil {
		return nil, fmt.Errorf("marks of other disks: %w", err)
	}
	return l, nil
}

// readClusterID recalls the cluster that the folder is of, "" if it was not kept yet.
func readClusterID(disk *raftstorage.Storage) (string, error) {
	id, err := disk.GetLocal(kv.ClusterKey)
	if err != nil {
		return "", fmt.Errorf("cluster id: %w", err)
	}
	return string(id), nil
}

// loggedClusterID is the cluster's id in the log of a node that ended before it had kept
// it. It may not have been committed.
func loggedClusterID(disk *raftstorage.Storage) (string, error) {
	s := newReplicatedState()
	if err := replayLog(disk, s); err != nil {
		return "", fmt.Errorf("cluster id: %w", err)
	}
	e, ok := s.get(kv.ClusterKey)
	if !ok {
		return "", nil
	}
	return parseClusterID(e)
}
