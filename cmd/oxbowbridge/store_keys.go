package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"oxbowbridge/internal/cluster/kv"
	"oxbowbridge/internal/cluster/storeclient"
	"oxbowbridge/internal/storage/atomicfile"
)

const maxTxnBytes = 1 << 20 // of standard input

// readQuery returns the query of a read, by the flags of get.
func (s *storeCLI) readQuery() string {
	switch {
	case s.local:
		return "?local=1"
	case s.stale != "":
		return "?stale=" + s.stale
	}
	return ""
}

// get prints one key, or all.
func (s *storeCLI) get(c *cobra.Command, client *storeclient.Client, args []string) error {
	if len(args) == 0 {
		return s.getAll(c, client)
	}
	value, revision, err := client.Get(c.Context(), args[0], s.readQuery())
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), kv.Result{Key: args[0], Revision: revision, Value: value})
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "%s\n", value)
	return err
}

func (s *storeCLI) getAll(c *cobra.Command, client *storeclient.Client) error {
	values, _, err := client.List(c.Context(), s.readQuery())
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), values)
	}
	rows := [][]any{{"KEY", "VALUE"}}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		rows = append(rows, []any{key, string(values[key])})
	}
	return printTable(c.OutOrStdout(), rows...)
}

// condition returns --if-revision; nil if it is not given.
func (s *storeCLI) condition(c *cobra.Command) *uint64 {
	if !c.Flags().Changed("if-revision") {
		return nil
	}
	return &s.ifRevision
}

func (s *storeCLI) put(c *cobra.Command, client *storeclient.Client, args []string) error {
	key, value := args[0], args[1]
	if !json.Valid([]byte(value)) {
		return usageError(fmt.Errorf("%q is not JSON; a text needs its quotes", value))
	}
	response, err := client.Put(c.Context(), key, json.RawMessage(value), s.condition(c))
	return s.printResponse(c, response, err)
}

func (s *storeCLI) delete(c *cobra.Command, client *storeclient.Client, args []string) error {
	response, err := client.Delete(c.Context(), args[0], s.condition(c))
	return s.printResponse(c, response, err)
}

// txn carries out the transaction on standard input.
func (s *storeCLI) txn(c *cobra.Command, client *storeclient.Client, _ []string) error {
	decoder := json.NewDecoder(io.LimitReader(c.InOrStdin(), maxTxnBytes))
	decoder.DisallowUnknownFields()
	var request kv.Request
	if err := decoder.Decode(&request); err != nil {
		return usageError(fmt.Errorf("standard input: %w", err))
	}
	response, err := client.Txn(c.Context(), request)
	return s.printResponse(c, response, err)
}

// printResponse prints the outcome of a write, or returns its error.
func (s *storeCLI) printResponse(c *cobra.Command, response kv.Response, err error) error {
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), response)
	}
	// HELD: the compares held. It says nothing of leases.
	rows := [][]any{{"HELD", "REVISION", "KEY", "KEY REVISION", "VALUE"}}
	for _, r := range response.Results {
		rows = append(rows, []any{response.Succeeded, response.Revision, r.Key, r.Revision, string(r.Value)})
	}
	return printTable(c.OutOrStdout(), rows...)
}

// backup writes a backup to a new file.
func (s *storeCLI) backup(c *cobra.Command, client *storeclient.Client, args []string) error {
	header, text, err := client.Backup(c.Context())
	if err != nil {
		return err
	}
	if err := atomicfile.WriteNew(args[0], text); err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), header)
	}
	return printTable(c.OutOrStdout(), []any{"CLUSTER", "REVISION", "KEYS", "BYTES", "SHA256"},
		[]any{header.Cluster, header.Revision, header.Keys, header.Bytes, header.SHA256})
}

// restore restores a backup from a file, or with --undo empties a store in which that was
// interrupted.
func (s *storeCLI) restore(c *cobra.Command, client *storeclient.Client, args []string) error {
	if s.undo != (len(args) == 0) {
		return usageError(errors.New("want FILE, or --undo"))
	}
	if s.undo {
		return client.UndoRestore(c.Context())
	}
	file, err := os.Open(args[0])
	if err != nil {
		return err
	}
	defer file.Close()
	restored, err := client.Restore(c.Context(), file)
	if err != nil {
		return err
	}
	if s.asJSON {
		return printJSON(c.OutOrStdout(), restored)
	}
	return printTable(c.OutOrStdout(), []any{"CLUSTER", "KEYS", "TAKEN FROM"}, []any{restored.Cluster, restored.Keys, restored.SourceCluster})
}
