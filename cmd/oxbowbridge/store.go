package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/storeapi"
	"oxbowbridge/internal/cluster/storeclient"
	"oxbowbridge/internal/cluster/watch"
	"oxbowbridge/internal/storage/atomicfile"
)

// storeCLI is what the sub-commands of store share.
type storeCLI struct {
	nodes  []string
	asJSON bool
	local  bool
	stale  string
	match  uint64
	from   uint64
	list   bool
	undo   bool
}

type addCommand func(use, short string, args cobra.PositionalArgs, run func(*cobra.Command, []string) error) *cobra.Command

// nodesCommand is a command whose sub-commands speak to the admin ports of a store, and
// what adds one.
func nodesCommand(use, short string, nodes *[]string, asJSON *bool) (*cobra.Command, addCommand) {
	c := &cobra.Command{Use: use, Short: short}
	c.PersistentFlags().StringSliceVar(nodes, "nodes", []string{"127.0.0.1:7201"}, "admin addresses, any or all of them")
	c.PersistentFlags().BoolVar(asJSON, "json", false, "print JSON in place of tables")
	return c, func(use, short string, args cobra.PositionalArgs, run func(*cobra.Command, []string) error) *cobra.Command {
		sub := &cobra.Command{Use: use, Short: short, RunE: run, Args: func(c *cobra.Command, a []string) error { return usageError(args(c, a)) }}
		c.AddCommand(sub)
		return sub
	}
}

func storeCommand() *cobra.Command {
	s := &storeCLI{}
	c, plain := nodesCommand("store", "Read and write the replicated store, at any of its nodes", &s.nodes, &s.asJSON)
	add := func(use, short string, args cobra.PositionalArgs, run func(*cobra.Command, *storeclient.Client, []string) error) *cobra.Command {
		return plain(use, short, args, func(c *cobra.Command, a []string) error { return run(c, storeclient.New(s.nodes), a) })
	}
	s.addMembers(add)
	add("status", "Show each node that --nodes names", cobra.NoArgs, s.status)
	get := add("get [KEY]", "Print a key, or all", cobra.MaximumNArgs(1), s.get)
	get.Flags().BoolVar(&s.local, "local", false, "what the node knows, however old")
	get.Flags().StringVar(&s.stale, "stale", "", "a read that may be so old, such as 2s")
	follow := add("watch [PREFIX]", "Print what changes, at whichever node is there, until interrupted", cobra.MaximumNArgs(1), s.watch)
	follow.Flags().Uint64Var(&s.from, "from", 0, "from this revision on; 0 is from now")
	follow.Flags().BoolVar(&s.list, "list", false, "print the keys first, and follow from there")
	put := add("put KEY JSON", "Write a key, once", cobra.ExactArgs(2), s.put)
	del := add("delete KEY", "Remove a key", cobra.ExactArgs(1), s.delete)
	for _, sub := range []*cobra.Command{put, del} {
		sub.Flags().Uint64Var(&s.match, "if-revision", 0, "only if the key has this revision; 0 if it is not there")
	}
	add("backup FILE", "Write a checked backup of all keys, as they were at one moment, to a new file", cobra.ExactArgs(1), s.backup)
	restore := add("restore FILE", "Put a backup back into an empty store of another cluster", cobra.MaximumNArgs(1), s.restore)
	restore.Flags().BoolVar(&s.undo, "undo", false, "without FILE: empty a store in which a restore was cut off")
	add("txn", "Carry out a transaction, once, given as JSON on standard input:\n"+
		`{"if": [{"key": K, "revision": N}], "then": [{"do": "put", "key": K, "value": V}], "else": []}`, cobra.NoArgs, s.txn)
	return c
}

func table(out io.Writer, rows ...[]any) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

func (s *storeCLI) status(c *cobra.Command, client *storeclient.Client, _ []string) error {
	type line struct {
		Address string `json:"address"`
		storeapi.Status
		Away string `json:"away,omitempty"`
	}
	var lines []line
	rows := [][]any{{"ADDRESS", "NODE", "STATE", "LEADER", "APPLIED", "LAST", "CLUSTER", "WAITS FOR OR ERROR"}}
	up := 0
	for _, addr := range s.nodes {
		st, err := client.Status(c.Context(), addr)
		l := line{Address: addr, Status: st}
		if err != nil {
			l.Away = err.Error()
		} else {
			up++
		}
		lines = append(lines, l)
		wrong := l.Away + st.WaitingFor + st.SQLError
		if st.ForeignPeers != "" {
			wrong = strings.TrimSpace(wrong + " of another cluster: " + st.ForeignPeers)
		}
		rows = append(rows, []any{addr, st.Node, st.State, st.Leader, st.AppliedIndex, st.LastIndex, st.Cluster, wrong})
	}
	err := error(nil)
	if s.asJSON {
		err = printJSON(c.OutOrStdout(), lines)
	} else {
		err = table(c.OutOrStdout(), rows...)
	}
	if up == 0 {
		err = errors.Join(err, errors.New("no node answered"))
	}
	return err
}

func (s *storeCLI) get(c *cobra.Command, client *storeclient.Client, args []string) error {
	query := ""
	switch {
	case s.local:
		query = "?local=1"
	case s.stale != "":
		query = "?stale=" + s.stale
	}
	if len(args) == 1 {
		value, revision, err := client.Get(c.Context(), args[0], query)
		if err != nil {
			return err
		}
		if s.asJSON {
			return printJSON(c.OutOrStdout(), kv.Result{Key: args[0], Revision: revision, Value: value})
		}
		_, err = fmt.Fprintf(c.OutOrStdout(), "%s\n", value)
		return err
	}
	all, _, err := client.List(c.Context(), query)
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), all)
	}
	rows := [][]any{{"KEY", "VALUE"}}
	for _, key := range slices.Sorted(maps.Keys(all)) {
		rows = append(rows, []any{key, string(all[key])})
	}
	return table(c.OutOrStdout(), rows...)
}

// watch prints one line for each key that changes, or with --json for each revision.
func (s *storeCLI) watch(c *cobra.Command, client *storeclient.Client, args []string) error {
	if s.list && s.from != 0 {
		return usageError(errors.New("--list and --from exclude each other"))
	}
	ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	prefix, out := "", c.OutOrStdout()
	if len(args) == 1 {
		prefix = args[0]
	}
	show := func(r watch.Revision) error {
		if s.asJSON {
			return json.NewEncoder(out).Encode(r)
		}
		for _, k := range r.Changes {
			value := string(k.Value)
			if k.Deleted {
				value = "(deleted)"
			}
			if _, err := fmt.Fprintf(out, "%d\t%s\t%s\n", r.Number, k.Key, value); err != nil {
				return err
			}
		}
		return nil
	}
	from := s.from
	if s.list {
		all, revision, err := client.List(ctx, "")
		if err != nil {
			return err
		}
		first := watch.Revision{Number: revision}
		for _, key := range slices.Sorted(maps.Keys(all)) {
			if strings.HasPrefix(key, prefix) {
				first.Changes = append(first.Changes, watch.Change{Key: key, Value: all[key]})
			}
		}
		if err := show(first); err != nil {
			return err
		}
		from = revision + 1
	}
	err := client.Watch(ctx, prefix, from, show)
	var gone *watch.CompactedError
	switch {
	case ctx.Err() != nil:
		return nil // interrupted
	case errors.As(err, &gone):
		return fmt.Errorf("%w; start again with --list", err)
	}
	return err
}

func (s *storeCLI) backup(c *cobra.Command, client *storeclient.Client, args []string) error {
	head, text, err := client.Backup(c.Context())
	if err != nil {
		return err
	}
	if err := atomicfile.WriteNew(args[0], text); err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), head)
	}
	return table(c.OutOrStdout(), []any{"CLUSTER", "REVISION", "KEYS", "BYTES", "SHA256"},
		[]any{head.Cluster, head.Revision, head.Keys, head.Bytes, head.SHA256})
}

func (s *storeCLI) restore(c *cobra.Command, client *storeclient.Client, args []string) error {
	if s.undo != (len(args) == 0) {
		return usageError(errors.New("want FILE, or --undo"))
	}
	if s.undo {
		return client.UndoRestore(c.Context())
	}
	f, err := os.Open(args[0])
	if err != nil {
		return err
	}
	defer f.Close()
	out, err := client.Restore(c.Context(), f)
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), out)
	}
	return table(c.OutOrStdout(), []any{"CLUSTER", "KEYS", "TAKEN FROM"}, []any{out.Cluster, out.Keys, out.SourceCluster})
}

func (s *storeCLI) condition(c *cobra.Command) *uint64 {
	if !c.Flags().Changed("if-revision") {
		return nil
	}
	return &s.match
}

func (s *storeCLI) put(c *cobra.Command, client *storeclient.Client, args []string) error {
	if !json.Valid([]byte(args[1])) {
		return usageError(fmt.Errorf("%q is not JSON; a text needs its quotes", args[1]))
	}
	a, err := client.Put(c.Context(), args[0], json.RawMessage(args[1]), s.condition(c))
	return s.told(c, a, err)
}

func (s *storeCLI) delete(c *cobra.Command, client *storeclient.Client, args []string) error {
	a, err := client.Delete(c.Context(), args[0], s.condition(c))
	return s.told(c, a, err)
}

func (s *storeCLI) txn(c *cobra.Command, client *storeclient.Client, _ []string) error {
	d := json.NewDecoder(io.LimitReader(c.InOrStdin(), 1<<20))
	d.DisallowUnknownFields()
	var r kv.Request
	if err := d.Decode(&r); err != nil {
		return usageError(fmt.Errorf("standard input: %w", err))
	}
	a, err := client.Txn(c.Context(), r)
	return s.told(c, a, err)
}

// told prints what a write came to.
func (s *storeCLI) told(c *cobra.Command, a kv.Response, err error) error {
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), a)
	}
	rows := [][]any{{"HELD", "REVISION", "KEY", "KEY REVISION", "VALUE"}}
	for _, r := range a.Results {
		rows = append(rows, []any{a.Succeeded, a.Revision, r.Key, r.Revision, string(r.Value)})
	}
	return table(c.OutOrStdout(), rows...)
}
