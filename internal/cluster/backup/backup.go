// Package backup reads and writes backup files of the replicated store. A file consists of a header,
// which is one line of JSON with a checksum, and one line of JSON per key. Read detects truncated and
// modified files.
package backup

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"

	"oxbowbridge/internal/cluster/kv"
)

// MaxBytes is the maximum size of a backup without its header: kv.MaxKeys entries, each with a value of
// maximum size and a key of maximum size in which every byte is escaped.
const MaxBytes = kv.MaxKeys * (kv.MaxValueBytes + maxEscapedBytesPerByte*kv.MaxKeyBytes + maxEntryOverheadBytes)

const (
	formatName             = "oxbowbridge-backup-1"
	maxHeaderBytes         = 1 << 10
	maxEscapedBytesPerByte = 6  // maximum encoded size of one byte of a key, as \u00XX
	maxEntryOverheadBytes  = 64 // maximum size of an entry's line without key and value
)

// ErrCorrupt means that a file is not a backup, or was truncated or modified.
var ErrCorrupt = errors.New("backup is damaged")

// Header is the first line of a backup file.
type Header struct {
	Format          string `json:"format"`
	Cluster         string `json:"cluster"`         // id of the cluster that the backup was taken from
	Revision        uint64 `json:"revision"`        // revision of the store in the backup
	TimeMS          int64  `json:"time_ms"`         // time of the backup, Unix milliseconds
	Keys            int    `json:"keys"`            // number of entries
	Bytes           int    `json:"bytes"`           // size of all entry lines
	MaxFencingToken uint64 `json:"token,omitempty"` // the highest fencing token that was granted
	SHA256          string `json:"sha256"`          // checksum of the header with this field empty and of the entry lines
}

// Entry is one key of a backup. Entries are sorted by key.
type Entry struct {
	Key      string          `json:"key"`
	Revision uint64          `json:"revision"` // revision of the key in the cluster that the backup was taken from
	Value    json.RawMessage `json:"value"`
}

// checksum returns the value of SHA256 for a header and its encoded entries.
func (h Header) checksum(entries []byte) string {
	h.SHA256 = ""
	line, _ := json.Marshal(h) // cannot fail: all fields are strings and numbers
	sum := sha256.New()
	sum.Write(line)
	sum.Write(entries)
	return hex.EncodeToString(sum.Sum(nil))
}
