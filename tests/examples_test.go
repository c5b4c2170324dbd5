package tests

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startFromFile starts the program with a configuration file of the repository, whose addresses it replaces by
// free ones. It also builds and starts the example stand-in engine, and returns its executable and its log.
func startFromFile(t *testing.T, path string) (s *service, standinPath string, engineLog *logBuffer) {
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	ports := map[string]string{}
	text = regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAllFunc(text, func(old []byte) []byte {
		if ports[string(old)] == "" {
			ports[string(old)] = freeAddr(t)
		}
		return []byte(ports[string(old)])
	})
	var cfg object
	require.NoError(t, json.Unmarshal(text, &cfg))
	if store, ok := cfg["store"].(object); ok {
		store["dir"] = t.TempDir()
		store["sql"].(object)["dsn"] = "file:" + filepath.Join(t.TempDir(), "record.db")
	}
	standinPath = filepath.Join(t.TempDir(), "toy")
	out, err := exec.Command("go", "build", "-o", standinPath, "../examples/standin").CombinedOutput()
	require.NoError(t, err, string(out))
	engine := exec.Command(standinPath, "-engine", cfg["engine"].(string))
	engineLog = &logBuffer{}
	engine.Stderr = engineLog
	require.NoError(t, engine.Start())
	t.Cleanup(func() { engine.Process.Kill() })
	s = startService(t, func(c object) {
		clear(c)
		for k, v := range cfg {
			c[k] = v
		}
	})
	s.fcgiAddr = cfg["listen"].(string)
	if ajp, ok := cfg["ajp"].(object); ok {
		s.ajpAddr = ajp["listen"].(string)
	}
	s.awaitReady()
	return s, standinPath, engineLog
}

// TestExample runs the commands of examples/README.md.
func TestExample(t *testing.T) {
	t.Parallel()
	s, standinPath, _ := startFromFile(t, "../examples/config.json")
	out, err := exec.Command(standinPath, "-service", s.fcgiAddr, "-call", "nom-submit", "200", "GJ").CombinedOutput()
	require.NoError(t, err, string(out))
	assert.Contains(t, string(out), "Status: 200")
	assert.Contains(t, string(out), "nom-submit done: 200 GJ")
	s.terminate()
}

// TestKeyedExample follows the section of examples/README.md on idempotency keys.
func TestKeyedExample(t *testing.T) {
	t.Parallel()
	s, standinPath, said := startFromFile(t, "../examples/keyed.json")
	for i, tt := range []struct{ key, body, want string }{
		{"k1", "200", "Status: 200\n\nnom-update done: 200"}, {"k1", "200", "Status: 200\n\nnom-update done: 200"},
		{"k1", "300", "Status: 500"}, {"k2", "200", "Status: 200"}, {"", "200", "Status: 400"},
	} {
		out, err := exec.Command(standinPath, "-service", s.fcgiAddr, "-call", "nom-update", "-key", tt.key, tt.body).CombinedOutput()
		require.NoError(t, err, string(out))
		assert.Contains(t, string(out), tt.want, i)
	}
	assert.Equal(t, 2, strings.Count(said.log(), "run: nom-update 200"), said.log())
	s.terminate()
}

// TestOperatorFile: the configuration in deploy/ serves both frontends, also while the other nodes of its store
// are not running.
func TestOperatorFile(t *testing.T) {
	t.Parallel()
	s, _, _ := startFromFile(t, "../deploy/operator.json")
	c, err := dialAJP(s.ajpAddr)
	require.NoError(t, err)
	c.secret = "change-me"
	a, err := c.do("/call/nom-submit", requestHeaders(newTraceID()), []byte("200 GJ"))
	require.NoError(t, err)
	assert.Equal(t, "nom-submit done: 200 GJ", a.body)
	assert.Contains(t, s.log(), "store unreachable, starting with last good settings")
	s.terminate()
}

// TestCallerGone: if the settings say that callers report cancelled requests, a run is stopped when its caller
// cancels it, in both protocols.
func TestCallerGone(t *testing.T) {
	t.Parallel()
	w := newTestbed(t, func(cfg object) { cfg["settings"].(object)["family_info"].(object)["tells_gone"] = true })
	c, err := dialFCGI(w.fcgiAddr)
	require.NoError(t, err)
	first, second := newTraceID(), newTraceID()
	_, err = c.Write(fcgiRequest(1, "/call/balance-view", requestHeaders(first), []byte("hold")))
	require.NoError(t, err)
	d, err := dialAJP(w.ajpAddr)
	require.NoError(t, err)
	_, err = d.Write(append(ajpForwardRequest("/call/nom-submit", "s3", requestHeaders(second), 4), ajpBodyChunk([]byte("hold"))...))
	require.NoError(t, err)
	await(t, "two runs to start", func() bool { return w.engine.heldRuns() == 2 })
	_, err = c.Write(fcgiRecord(2, 1, nil)) // type 2 is ABORT_REQUEST
	require.NoError(t, err)
	id, _, _, err := c.readResponse()
	require.NoError(t, err)
	assert.EqualValues(t, 1, id)
	d.Close()
	await(t, "both runs to be stopped", func() bool {
		return w.engine.countReceived("HALT "+first) == 1 && w.engine.countReceived("HALT "+second) == 1
	})
	w.engine.mu.Lock()
	w.engine.heldTraces = nil
	w.engine.mu.Unlock()
	w.terminate()
}
