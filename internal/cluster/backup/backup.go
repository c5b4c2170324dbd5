// Package backup is the file format of a backup of the replicated store: a header, which is one
// line of JSON with a checksum, and one line of JSON for each key. A file that is truncated, or
// changed in any byte, is recognized.
package backup

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"

	"oxbowbridge/internal/cluster/kv"
)

// MaxBytes is the size of the largest backup without its header: kv.MaxKeys entries, each with the
// largest value and a key of which every byte is escaped.
const MaxBytes = kv.MaxKeys * (kv.MaxValueBytes + maxEscapedBytesPerByte*kv.MaxKeyBytes + maxEntryOverheadBytes)

const (
	formatName             = "oxbowbridge-backup-1"
	maxHeaderBytes         = 1 << 10
	maxEscapedBytesPerByte = 6  // of one byte of a key in JSON
	maxEntryOverheadBytes  = 64 // of the line of one entry
)

// ErrCorrupt means that a file is no backup, or not as it was written.
var ErrCorrupt = errors.New("backup is damaged")

// Header is the first line.
type Header struct {
	Format          string `json:"format"`
	Cluster         string `json:"cluster"`         // id of the cluster that it was taken from
	Revision        uint64 `json:"revision"`        // of the store that it shows
	TimeMS          int64  `json:"time_ms"`         // when it was taken, Unix milliseconds
	Keys            int    `json:"keys"`            // number of entries
	Bytes           int    `json:"bytes"`           // of the entries
	MaxFencingToken uint64 `json:"token,omitempty"` // the highest fencing token that was given
	SHA256          string `json:"sha256"`          // of the header with this field empty, and the entries
}

// Entry is one key. Entries are sorted by key.
type Entry struct {
	Key      string          `json:"key"`
	Revision uint64          `json:"revision"` // in the cluster that the backup was taken from
	Value    json.RawMessage `json:"value"`
}

// checksum returns the value of SHA256 for a header and the lines of its entries.
func (h Header) checksum(entries []byte) string {
	h.SHA256 = ""
	line, _ := json.Marshal(h) // texts and numbers can be encoded
	sum := sha256.New()
	sum.Write(line)
	sum.Write(entries)
	return hex.EncodeToString(sum.Sum(nil))
}
