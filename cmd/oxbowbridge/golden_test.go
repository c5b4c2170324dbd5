package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"github.com/stretchr/testify/require"

	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/maintenance"
	"oxbowbridge/internal/testrig/golden"
)

// TestGoldenCommands compares the names of all commands, their flags, flag types and defaults with a
// golden file.
func TestGoldenCommands(t *testing.T) {
	var lines strings.Builder
	var walk func(c *cobra.Command)
	walk = func(c *cobra.Command) {
		fmt.Fprintln(&lines, c.CommandPath()+strings.TrimPrefix(c.Use, c.Name()), "hidden", c.Hidden)
		c.LocalFlags().VisitAll(func(f *pflag.Flag) {
			if f.Name != "help" {
				fmt.Fprintln(&lines, "  --"+f.Name, f.Value.Type(), f.DefValue)
			}
		})
		for _, sub := range c.Commands() {
			walk(sub)
		}
	}
	walk(rootCommand())
	fmt.Fprintln(&lines, exitCodeFailure, exitCodeUsage, exitCodeDamaged, envFencingToken, envLeaseName, keySettings, keyLogLevel, keyStatePrefix)
	golden.Text(t, "testdata/commands.golden", lines.String())
}

// TestGoldenOutput compares the output, exit codes and errors of the commands that use a store node with
// a golden file, for tables and for JSON.
func TestGoldenOutput(t *testing.T) {
	node := httptest.NewServer(http.HandlerFunc(serveSampleResponses))
	defer node.Close()
	address := strings.TrimPrefix(node.URL, "http://")
	damaged := filepath.Join(t.TempDir(), "damaged")
	var lines strings.Builder
	for _, line := range []string{
		"store status", "store status --json", "store get", "store get --json", "store get a", "store get a --json", "store get a --local", "store get a --stale 2s",
		"store put a 1", "store put a 1 --json", "store put a x", "store put a 1 --if-revision 4", "store delete a", "store txn", "store txn --json",
		"store members", "store members --json", "store add n2", "store remove n2", "store promote n2", "store restore", "store restore FILE", "store restore --undo",
		"store watch --list --from 3", "store watch a", "store backup FILE", "store get a b",
		"lease list", "lease list --json", "lease show job", "lease show job --json", "lease acquire job --holder h1", "lease acquire job --holder h1 --json",
		"lease acquire job --holder h1 --ttl 1ms", "lease acquire job --wait 1h", "lease acquire -", "lease release job", "lease release job --token 7 --to h2", "lease revoke job", "lease run job -- nowhere-to-be-found",
		"lease run job --grace 1h -- true", "lease none",
		"work list", "work list --json", "work plan", "work plan --json", "work plan --window 5h-1h", "work plan --chart x.txt", "work ask m1 --for 60s", "work ask /", "work cancel m1", "work pause", "work resume", "work back m1",
	} {
		root := rootCommand()
		var out, errOut bytes.Buffer
		root.SetOut(&out)
		root.SetErr(&errOut)
		root.SetIn(strings.NewReader(`{"then":[{"do":"get","key":"a"}]}`))
		args := strings.Fields(strings.ReplaceAll(line, "FILE", damaged))
		root.SetArgs(append([]string{args[0], "--nodes", address}, args[1:]...))
		err := root.ExecuteContext(t.Context())
		code := 0
		if err != nil {
			code = exitCodeFailure
			var exit *exitError
			if errors.As(err, &exit) {
				code = exit.code
			}
		}
		fmt.Fprintf(&lines, "== %s\n%s%s-> %d %v\n", line, &out, &errOut, code, err)
	}
	text := strings.NewReplacer(address, "NODE", damaged, "FILE").Replace(lines.String())
	text = regexp.MustCompile(`\d+h\d+m\d+s`).ReplaceAllString(text, "AGO")
	text = regexp.MustCompile(` {2,}`).ReplaceAllString(text, "  ") // the width of columns depends on the address
	golden.Text(t, "testdata/output.golden", text)
}

// serveSampleResponses is the handler of a stand-in store node. It returns a sample body for each kind of
// request.
func serveSampleResponses(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("ETag", `"9"`)
	w.Header().Set("Store-Revision", "11")
	var body any
	switch path := r.Method + " " + r.URL.Path; {
	case path == "GET /status":
		body = filledSample(&storeapi.Status{})
	case path == "GET /store":
		body = map[string]json.RawMessage{"a": []byte(`1`), "b": []byte(`{"x":1}`)}
	case path == "GET /store/a":
		body = 7
	case path == "POST /session":
		body = map[string]any{"session": 3}
	case path == "POST /txn":
		request, _ := io.ReadAll(r.Body)
		body = map[string]any{"held": !strings.Contains(string(request), `"if"`), "revision": 4, "results": []map[string]any{{"key": "a", "revision": 4, "value": 1}}}
	case path == "GET /members":
		body = filledSample(&storeapi.Members{})
	case strings.Contains(path, "GET /watch"):
		fmt.Fprint(w, "id: 8\nevent: change\ndata: {\"revision\":8,\"changes\":[{\"key\":\"a/b\",\"gone\":true},{\"key\":\"a\",\"value\":2}]}\n\nevent: compacted\ndata: {\"error\":\"compacted\",\"oldest\":12}\n\n")
		return
	case path == "GET /lease":
		body = []any{filledSample(&storeapi.LeaseStatus{}), storeapi.LeaseStatus{Name: "job", Holder: "h1", Token: 7, TTLMS: 5000}}
	case path == "GET /lease/job", path == "POST /lease/job":
		body = filledSample(&storeapi.LeaseStatus{})
	case path == "GET /work":
		s := maintenance.Status{Controller: "n1", Budget: maintenance.DefaultDisruptionBudget(), HeadOfQueue: "m2", WaitReason: "1 are out, at most 1", Pause: maintenance.Pause{Paused: true, Reason: "by us"}}
		for _, name := range []string{"m1", "m2", "m3"} {
			s.Machines = append(s.Machines, maintenance.Machine{Name: name, Zone: "z1", Cores: 4, Speed: 1, State: maintenance.MachineInService})
			s.Orders = append(s.Orders, maintenance.OrderStatus{Order: maintenance.Order{Machine: name, Reason: "kernel", DurationMS: 60_000, Phase: maintenance.PhaseRequested, PhaseSinceMS: 1000}, WaitReason: "the order is paused"})
		}
		body = s
	case path == "POST /work":
		body = filledSample(&maintenance.Order{})
	default:
		w.WriteHeader(http.StatusNoContent)
		return
	}
	json.NewEncoder(w).Encode(body)
}

// filledSample fills all fields of a value with distinct sample data.
func filledSample[T any](value *T) *T {
	golden.Fill(value)
	return value
}

// TestGoldenGuard guards the format of the lines between "lease run" and its guard process.
func TestGoldenGuard(t *testing.T) {
	read, write := io.Pipe()
	g := &guardProcess{input: write}
	go func() {
		g.sendPID(7)
		write.Close()
	}()
	text, err := io.ReadAll(read)
	require.NoError(t, err)
	require.Equal(t, "pid 7\n", string(text))
	require.NoError(t, runGuard(strings.NewReader("until 1\ndone\n")))
}
