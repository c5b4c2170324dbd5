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
	keptDisk   = "disk"   // the disk's identity
	keptStarts = "starts" // how often it was opened
	keptJoiner = "joiner" // there if the folder took the place of another
	keptSeen   = "seen"   // marks of other disks
	keptApart  = "apart"  // there if its state was found to differ from that of most others
	diskBytes  = 8        // of a disk's identity
)

// openDisk opens the node's folder, or makes it. One that is damaged, or whose state differs,
// is set aside, whole, and a new one is begun that never makes a cluster: what it promised,
// others must know.
func (s *Store) openDisk() (*raftstorage.Storage, error) {
	disk, err := s.tryDisk()
	if !errors.Is(err, durable.ErrDamaged) && !errors.Is(err, errApart) {
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
	if disk, err = s.tryDisk(); err != nil {
		return nil, err
	}
	if err := disk.PutLocal(keptJoiner, []byte("1")); err != nil {
		disk.Close()
		return nil, fmt.Errorf("mark new folder: %w", err)
	}
	return disk, nil
}

func (s *Store) tryDisk() (*raftstorage.Storage, error) {
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
	if apart, err := disk.GetLocal(keptApart); apart != nil || err != nil {
		if err == nil {
			err = errApart
		}
		return nil, errors.Join(err, disk.Close())
	}
	return disk, nil
}

// folder is what a node knows of its disk when it starts.
type folder struct {
	disk      *raftstorage.Storage
	own       diskidentity.LocalDisk
	addresses map[string]string // of the members in its log
}

// readFolder reads a disk's identity, or gives it one, and counts the start.
func (s *Store) readFolder(disk *raftstorage.Storage) (*folder, error) {
	f := &folder{disk: disk}
	id, err := disk.GetLocal(keptDisk)
	if err != nil {
		return nil, fmt.Errorf("identity of the disk: %w", err)
	}
	if id == nil {
		if id, err = newDiskID(disk); err != nil {
			return nil, err
		}
	}
	starts, err := disk.GetLocal(keptStarts)
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
	if err := disk.PutLocal(keptStarts, strconv.AppendUint(nil, count, 10)); err != nil {
		return nil, fmt.Errorf("count start: %w", err)
	}
	joiner, err := disk.GetLocal(keptJoiner)
	if err != nil {
		return nil, fmt.Errorf("marker: %w", err)
	}
	f.own = diskidentity.LocalDisk{ID: diskidentity.MemberID(s.self.Name, string(id)), Cluster: s.cluster.id(), Attesters: s.cfg.Attesters}
	if f.own.Watermark, err = disk.Watermark(); err != nil {
		return nil, fmt.Errorf("mark: %w", err)
	}
	f.own.Watermark.Starts = count
	if f.own.Cluster == "" {
		if f.own.LoggedCluster, err = loggedCluster(disk); err != nil {
			return nil, err
		}
	}
	f.own.Empty = f.own.Watermark.LastIndex == 0
	f.own.Fresh = f.own.Empty && joiner == nil && f.own.Cluster == ""
	if s.cfg.founder() {
		for _, p := range s.cfg.Peers {
			f.own.Founders = append(f.own.Founders, p.Name)
		}
	}
	conf, index, err := disk.Configuration()
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	f.own.ConfigIndex = index
	f.own.Members, f.own.Voters = idsOf(conf)
	f.addresses = addressesOf(conf)
	// A log that the version before began knows members by their names alone.
	if _, ok := serverOf(conf, s.self.Name); ok {
		f.own.ID = s.self.Name
	}
	return f, nil
}

func newDiskID(disk *raftstorage.Storage) ([]byte, error) {
	b := make([]byte, diskBytes)
	rand.Read(b)
	id := []byte(hex.EncodeToString(b))
	if err := disk.PutLocal(keptDisk, id); err != nil {
		return nil, fmt.Errorf("give the disk an identity: %w", err)
	}
	return id, nil
}

// renew gives a disk a new identity: what it promised before is not counted for it any
// more. Its log stays, as most of it saves being sent again.
func renew(disk *raftstorage.Storage, name string) (id string, err error) {
	text, err := newDiskID(disk)
	if err == nil {
		err = disk.PutLocal(keptJoiner, []byte("1"))
	}
	return diskidentity.MemberID(name, string(text)), err
}

func idsOf(conf raft.Configuration) (members, voters []string) {
	for _, x := range conf.Servers {
		members = append(members, string(x.ID))
		if x.Suffrage == raft.Voter {
			voters = append(voters, string(x.ID))
		}
	}
	return members, voters
}

// addressesOf are the members' addresses, as the configuration holds them.
func addressesOf(conf raft.Configuration) map[string]string {
	out := map[string]string{}
	for _, x := range conf.Servers {
		out[string(x.ID)] = string(x.Address)
	}
	return out
}

func serverOf(conf raft.Configuration, id string) (raft.Server, bool) {
	for _, x := range conf.Servers {
		if string(x.ID) == id {
			return x, true
		}
	}
	return raft.Server{}, false
}

// ledger is what this node has seen of other disks, the highest of each.
type ledger map[string]diskidentity.Watermark

func readLedger(disk *raftstorage.Storage) (ledger, error) {
	l := ledger{}
	text, err := disk.GetLocal(keptSeen)
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

// loggedCluster is the cluster's id in the log of a node that ended before it had kept
// it. It may not have been committed.
func loggedCluster(disk *raftstorage.Storage) (string, error) {
	s := newState()
	if err := replay(disk, s); err != nil {
		return "", fmt.Errorf("cluster id: %w", err)
	}
	e, ok := s.get(kv.ClusterKey)
	if !ok {
		return "", nil
	}
	return clusterOf(e)
}
