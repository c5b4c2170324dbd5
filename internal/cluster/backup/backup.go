// Package backup is the form of a backup of the replicated store: one line of JSON
// that says what it holds, with a checksum, and the keys after it. A file that is cut
// off or changed anywhere is told from a whole one.
package backup

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"oxbowbridge/internal/cluster/kv"
)

// MaxBytes is the largest backup: as many keys as a store may hold, each as large as may be.
const MaxBytes = kv.MaxKeys * (kv.MaxValueBytes + 6*kv.MaxKeyBytes + 64)

const (
	format   = "oxbowbridge-backup-1"
	headMost = 1 << 10
)

// ErrCorrupt means that a file is no backup, or not as it was written.
var ErrCorrupt = errors.New("backup is damaged")

// Header is the first line.
type Header struct {
	Format   string `json:"format"`
	Cluster  string `json:"cluster"`  // that it was taken from
	Revision uint64 `json:"revision"` // up to which it has all
	TimeMS   int64  `json:"time_ms"`  // Unix milliseconds at which it was taken
	Keys     int    `json:"keys"`
	Bytes    int    `json:"bytes"`           // of what follows
	Token    uint64 `json:"token,omitempty"` // the highest fencing token that was given
	SHA256   string `json:"sha256"`          // of the line with this field empty, and what follows
}

// Entry is one of the keys, in their order.
type Entry struct {
	Key      string          `json:"key"`
	Revision uint64          `json:"revision"` // in the old cluster
	Value    json.RawMessage `json:"value"`
}

func (h Header) sum(body []byte) string {
	h.SHA256 = ""
	line, _ := json.Marshal(h) // of texts and numbers
	sum := sha256.New()
	sum.Write(line)
	sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil))
}

// Write prints a backup. It fills in what the head says of the keys.
func Write(w io.Writer, h Header, keys []Entry) (Header, error) {
	var body bytes.Buffer
	enc := json.NewEncoder(&body)
	enc.SetEscapeHTML(false)
	for _, k := range keys {
		if err := enc.Encode(k); err != nil {
			return h, fmt.Errorf("key %s: %w", k.Key, err)
		}
	}
	h.Format, h.Keys, h.Bytes = format, len(keys), body.Len()
	h.SHA256 = h.sum(body.Bytes())
	line, err := json.Marshal(h)
	if err == nil {
		_, err = w.Write(append(line, '\n'))
	}
	if err == nil {
		_, err = w.Write(body.Bytes())
	}
	if err != nil {
		return h, fmt.Errorf("write backup: %w", err)
	}
	return h, nil
}

// Read reads a whole backup, and nothing of one that is not whole. What it wraps is
// ErrDamaged, or the error of r.
func Read(r io.Reader) (Header, []Entry, error) {
	text, err := io.ReadAll(io.LimitReader(r, headMost+MaxBytes+1))
	if err != nil {
		return Header{}, nil, fmt.Errorf("read backup: %w", err)
	}
	line, body, found := bytes.Cut(text, []byte("\n"))
	var h Header
	if !found || len(line) > headMost || json.Unmarshal(line, &h) != nil || h.Format != format {
		return Header{}, nil, fmt.Errorf("%w: no line of %s at its start", ErrCorrupt, format)
	}
	if again, _ := json.Marshal(h); !bytes.Equal(again, line) {
		return Header{}, nil, fmt.Errorf("%w: its first line was changed", ErrCorrupt)
	}
	if h.Bytes != len(body) {
		return Header{}, nil, fmt.Errorf("%w: %d bytes, not %d, after its first line", ErrCorrupt, len(body), h.Bytes)
	}
	if sum := h.sum(body); sum != h.SHA256 {
		return Header{}, nil, fmt.Errorf("%w: checksum %s, not %s", ErrCorrupt, sum, h.SHA256)
	}
	keys := make([]Entry, 0, min(max(h.Keys, 0), kv.MaxKeys))
	for line := range bytes.Lines(body) {
		var k Entry
		if err := json.Unmarshal(line, &k); err != nil {
			return Header{}, nil, fmt.Errorf("%w: key %d: %w", ErrCorrupt, len(keys)+1, err)
		}
		keys = append(keys, k)
	}
	if len(keys) != h.Keys {
		return Header{}, nil, fmt.Errorf("%w: %d keys, not %d", ErrCorrupt, len(keys), h.Keys)
	}
	return h, keys, nil
}
