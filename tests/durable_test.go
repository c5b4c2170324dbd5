package tests

import (
	"bufio"
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var loadKills = flag.Int("kills", 8, "number of loads that TestLoadKilled kills")

// runCLI runs a command of the program and waits for it to exit.
func runCLI(t *testing.T, in string, args ...string) (out, errs string, code int) {
	t.Helper()
	c := exec.Command(programPath, args...)
	var stdout, stderr bytes.Buffer
	c.Stdin, c.Stdout, c.Stderr = strings.NewReader(in), &stdout, &stderr
	err := c.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	} else {
		require.NoError(t, err)
	}
	return stdout.String(), stderr.String(), code
}

// TestCommands checks the output and exit codes of commands with valid and invalid arguments.
func TestCommands(t *testing.T) {
	t.Parallel()
	out, _, code := runCLI(t, "", "version")
	assert.Zero(t, code)
	assert.Contains(t, out, "oxbowbridge")
	for _, file := range []string{"operator.json", "store-standby.json", "store-leases.json", "work.json"} {
		_, errs, code := runCLI(t, "", "config", "check", "../deploy/"+file)
		assert.Zero(t, code, errs)
	}
	out, _, code = runCLI(t, "", "config", "check", "../examples/config.json")
	assert.Zero(t, code)
	assert.Equal(t, "ok\n", out)
	text, err := os.ReadFile("../examples/config.json")
	require.NoError(t, err)
	bad := filepath.Join(t.TempDir(), "bad.json")
	require.NoError(t, os.WriteFile(bad, bytes.Replace(text, []byte(`"stop_ms": 4000`), []byte(`"stop_ms": 4`), 1), 0o600))
	_, errs, code := runCLI(t, "", "config", "check", bad)
	assert.Equal(t, 2, code)
	assert.Contains(t, errs, "stop_ms")
	for _, args := range [][]string{{"nonsense"}, {"durable", "dump"}, {"durable", "load", "x", "--nonsense"}, {"try", "--requests", "0"}, {"serve", "x"}} {
		_, errs, code = runCLI(t, "", args...)
		assert.Equal(t, 2, code, args)
		assert.NotEmpty(t, errs, args)
	}
	out, _, code = runCLI(t, "", "try", "--requests", "60", "--within", "500ms")
	assert.Zero(t, code)
	for _, class := range classNames {
		assert.Contains(t, out, class)
	}
}

// TestDurableCommands loads, dumps, damages and repairs a durable store.
func TestDurableCommands(t *testing.T) {
	t.Parallel()
	dir := filepath.Join(t.TempDir(), "store")
	long := strings.Repeat("long ", 100)
	out, errs, code := runCLI(t, "b\t2\na\t\nb\t3\nc\t"+long+"\n", "durable", "load", dir)
	require.Zero(t, code, errs)
	assert.Equal(t, "ok b\nok a\nok b\nok c\n", out)
	want := "a\t\nb\t3\nc\t" + long + "\n"
	out, _, code = runCLI(t, "", "durable", "dump", dir)
	assert.Zero(t, code)
	assert.Equal(t, want, out)
	_, errs, code = runCLI(t, "no tab here\n", "durable", "load", dir)
	assert.Equal(t, 2, code)
	assert.Contains(t, errs, "line 1")
	out, _, code = runCLI(t, "", "durable", "compact", dir)
	assert.Zero(t, code)
	assert.Contains(t, out, "live")
	out, _, code = runCLI(t, "", "durable", "verify", dir)
	assert.Zero(t, code)
	assert.Contains(t, out, `"loss": "none"`)
	out, _, code = runCLI(t, "", "durable", "dump", dir, "--hex")
	assert.Zero(t, code)
	out, errs, code = runCLI(t, out, "durable", "load", dir+"2", "--hex")
	require.Zero(t, code, errs)
	assert.Equal(t, 3, strings.Count(out, "ok "))

	log := filepath.Join(dir, "00000001.log")
	text, err := os.ReadFile(log)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(log, bytes.Replace(text, []byte("long"), []byte("lung"), 1), 0o600))
	before := readFolder(t, dir)
	out, errs, code = runCLI(t, "", "durable", "dump", dir)
	assert.Equal(t, 3, code)
	assert.Equal(t, "a\t\nb\t3\n", out)
	assert.Contains(t, errs, `"lost_keys": 1`)
	_, _, code = runCLI(t, "", "durable", "verify", dir)
	assert.Equal(t, 3, code)
	assert.Equal(t, before, readFolder(t, dir), "verify and dump change no file")
	require.NoError(t, os.Truncate(log, 70))
	_, errs, code = runCLI(t, "", "durable", "load", dir)
	assert.Equal(t, 3, code)
	assert.Contains(t, errs, "damaged")
	_, _, code = runCLI(t, "", "durable", "repair", dir)
	assert.Zero(t, code)
	_, errs, code = runCLI(t, "c\tnew\n", "durable", "load", dir)
	assert.Zero(t, code, errs)
	out, _, code = runCLI(t, "", "durable", "dump", dir)
	assert.Zero(t, code)
	assert.Equal(t, "a\t\nb\t3\nc\tnew\n", out)
	_, _, code = runCLI(t, "", "durable", "dump", dir+"none")
	assert.Equal(t, 1, code)
}

func readFolder(t *testing.T, dir string) map[string]string {
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	m := map[string]string{}
	for _, f := range files {
		b, err := os.ReadFile(filepath.Join(dir, f.Name()))
		require.NoError(t, err)
		m[f.Name()] = string(b)
	}
	return m
}

// TestLoadKilled kills "durable load" at random times. Every acknowledged write must be in the next dump, and
// the store must stay usable. Run it longer with -kills 200.
func TestLoadKilled(t *testing.T) {
	t.Parallel()
	dir, rng := filepath.Join(t.TempDir(), "store"), rand.New(rand.NewPCG(1, 2))
	acked, n := map[string]string{}, 0
	for round := range *loadKills {
		c := exec.Command(programPath, "durable", "load", dir)
		in, err := c.StdinPipe()
		require.NoError(t, err)
		out, err := c.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, c.Start())
		first := n
		sent := make(chan int)
		go func() { // writes until the pipe breaks
			w := bufio.NewWriterSize(in, 2048)
			i := first
			for ; ; i++ {
				if _, err := fmt.Fprintf(w, "key%d\t%s\n", i%500, valueOf(i)); err != nil {
					break
				}
			}
			sent <- i
		}()
		stop := 1 + rng.IntN(3000)
		r := bufio.NewReader(out)
		for got := 0; ; got++ {
			line, err := r.ReadString('\n')
			if err != nil {
				require.ErrorIs(t, err, io.EOF)
				break
			}
			require.Equal(t, fmt.Sprintf("ok key%d\n", n%500), line)
			acked[fmt.Sprintf("key%d", n%500)] = valueOf(n)
			n++
			if got == stop {
				time.AfterFunc(time.Duration(rng.IntN(3000))*time.Microsecond, func() { c.Process.Kill() })
			}
		}
		c.Wait()
		end := <-sent
		dumped, errs, code := runCLI(t, "", "durable", "dump", dir)
		require.Zero(t, code, errs)
		have := map[string]string{}
		for line := range strings.Lines(dumped) {
			k, v, _ := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
			have[k] = v
		}
		for k, v := range acked {
			if have[k] == v {
				continue
			}
			ok := false // a later value may be on disk without an acknowledgement
			for i := n; i < end+1 && !ok; i++ {
				ok = fmt.Sprintf("key%d", i%500) == k && valueOf(i) == have[k]
			}
			require.True(t, ok, "round %d: %s is %q, want %q", round, k, have[k], v)
		}
		for k, v := range have {
			acked[k] = v
		}
	}
	require.Greater(t, n, *loadKills)
}

func valueOf(i int) string { return strings.Repeat(fmt.Sprint(i, ","), 1+i%40) }
