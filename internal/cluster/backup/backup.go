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

// Most is the largest backup: as many keys as a store may hold, each as large as may be.
const Most = kv.Keys * (kv.ValueBytes + 6*kv.KeyBytes + 64)

const (
	format   = "oxbowbridge-backup-1"
	headMost = 1 << 10
)

// ErrDamaged means that a file is no backup, or not as it was written.
var ErrDamaged = errors.New("backup is damaged")

// Head is the first line.
type Head struct {
	Format   string `json:"format"`
	Cluster  string `json:"cluster"`  // that it was taken from
	Revision uint64 `json:"revision"` // up to which it has all
	TimeMS   int64  `json:"time_ms"`  // Unix milliseconds at which it was taken
	Keys     int    `json:"keys"`
	Bytes    int    `json:"bytes"`           // of what follows
	Token    uint64 `json:"token,omitempty"` // the highest fencing token that was given
	SHA256   string `json:"sha256"`          // of the line with this field empty, and what follows
}

// Key is one of the keys, in their order.
type Key struct {
	Key      string          `json:"key"`
	Revision uint64          `json:"revision"` // in the old cluster
	Value    json.RawMessage `json:"value"`
}

func (h Head) sum(body []byte) string {
	h.SHA256 = ""
	line, _ := json.Marshal(h) // of texts and numbers
	sum := sha256.New()
	sum.Write(line)
	sum.Write(body)
	return hex.EncodeToString(sum.Sum(nil))
}

// Write prints a backup. It fills in what the head says of the keys.
func Write(w io.Writer, h Head, keys []Key) (Head, error) {
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
func Read(r io.Reader) (Head, []Key, error) {
	text, err := io.ReadAll(io.LimitReader(r, headMost+Most+1))
	if err != nil {
		return Head{}, nil, fmt.Errorf("read backup: %w", err)
	}
	line, body, found := bytes.Cut(text, []byte("\n"))
	var h Head
	if !found || len(line) > headMost || json.Unmarshal(line, &h) != nil || h.Format != format {
		return Head{}, nil, fmt.Errorf("%w: no line of %s at its start", ErrDamaged, format)
	}
	if again, _ := json.Marshal(h); !bytes.Equal(again, line) {
		return Head{}, nil, fmt.Errorf("%w: its first line was changed", ErrDamaged)
	}
	if h.Bytes != len(body) {
		return Head{}, nil, fmt.Errorf("%w: %d bytes, not %d, after its first line", ErrDamaged, len(body), h.Bytes)
	}
	if sum := h.sum(body); sum != h.SHA256 {
		return Head{}, nil, fmt.Errorf("%w: checksum %s, not %s", ErrDamaged, sum, h.SHA256)
	}
	keys := make([]Key, 0, min(max(h.Keys, 0), kv.Keys))
	for line := range bytes.Lines(body) {
		var k Key
		if err := json.Unmarshal(line, &k); err != nil {
			return Head{}, nil, fmt.Errorf("%w: key %d: %w", ErrDamaged, len(keys)+1, err)
		}
		keys = append(keys, k)
	}
	if len(keys) != h.Keys {
		return Head{}, nil, fmt.Errorf("%w: %d keys, not %d", ErrDamaged, len(keys), h.Keys)
	}
	return h, keys, nil
}
