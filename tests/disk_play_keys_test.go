package tests

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// keyWriterPause is the time between two writes of a keyWriter.
	keyWriterPause = 20 * time.Millisecond
	// keyWriterTimeout is the timeout of one write.
	keyWriterTimeout = 4 * time.Second
)

// keyWriter writes new keys, each once and at a random node, and records those whose write was acknowledged.
type keyWriter struct {
	mu    sync.Mutex
	acked []string // keys; the value of a key is its name in quotes
}

// run writes until stop is closed.
func (w *keyWriter) run(c *cluster, seed uint64, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, seed))
	client := &http.Client{Timeout: keyWriterTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(keyWriterPause):
		}
		key := fmt.Sprint("kept/", n)
		if writeOnce(client, c.Peers[rng.IntN(len(c.Peers))].Admin, key) {
			w.mu.Lock()
			w.acked = append(w.acked, key)
			w.mu.Unlock()
		}
	}
}

// writeOnce reports whether the write was acknowledged. If not, its outcome is unknown.
func writeOnce(client *http.Client, admin, key string) bool {
	req, err := http.NewRequest(http.MethodPut, "http://"+admin+"/store/"+key, strings.NewReader(fmt.Sprintf("%q", key)))
	if err != nil {
		panic(err)
	}
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusNoContent
}

// count returns the number of acknowledged writes.
func (w *keyWriter) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acked)
}

// checkAllAt reports whether a node answers a linearizable read of all keys. It ends the test if a key is
// missing whose write was acknowledged before the read.
func (w *keyWriter) checkAllAt(t *testing.T, c *cluster, node int) bool {
	t.Helper()
	w.mu.Lock()
	acked := w.acked[:len(w.acked):len(w.acked)]
	w.mu.Unlock()
	var values map[string]json.RawMessage
	if !c.GetJSON(node, "/store", &values) {
		return false
	}
	var lost []string
	for _, key := range acked {
		if string(values[key]) != fmt.Sprintf("%q", key) {
			lost = append(lost, key)
		}
	}
	require.Empty(t, lost, "acknowledged keys missing at s%d, of %d", node, len(acked))
	return true
}
