package main

import (
	"context"
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

	"github.com/spf13/cobra"

	"oxbowbridge/internal/cluster/storeclient"
	"oxbowbridge/internal/cluster/watch"
)

// watch prints changes until it is interrupted.
func (s *storeCLI) watch(c *cobra.Command, client *storeclient.Client, args []string) error {
	if s.listFirst && s.fromRevision != 0 {
		return usageError(errors.New("--list and --from can't be used together"))
	}
	ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	prefix := ""
	if len(args) == 1 {
		prefix = args[0]
	}
	printChanges := func(r watch.Revision) error { return s.printRevision(c.OutOrStdout(), r) }
	from := s.fromRevision
	if s.listFirst {
		listed, err := listAsRevision(ctx, client, prefix)
		if err != nil {
			return err
		}
		if err := printChanges(listed); err != nil {
			return err
		}
		from = listed.Number + 1
	}
	err := client.Watch(ctx, prefix, from, printChanges)
	var compacted *watch.CompactedError
	switch {
	case ctx.Err() != nil:
		return nil // interrupted
	case errors.As(err, &compacted):
		return fmt.Errorf("%w; restart with --list", err)
	}
	return err
}

// listAsRevision returns all current keys with a prefix as changes of one revision.
func listAsRevision(ctx context.Context, client *storeclient.Client, prefix string) (watch.Revision, error) {
	values, number, err := client.List(ctx, "")
	if err != nil {
		return watch.Revision{}, err
	}
	revision := watch.Revision{Number: number}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		if strings.HasPrefix(key, prefix) {
			revision.Changes = append(revision.Changes, watch.Change{Key: key, Value: values[key]})
		}
	}
	return revision, nil
}

// printRevision prints one line for each changed key, or with --json one line for the revision.
func (s *storeCLI) printRevision(out io.Writer, r watch.Revision) error {
	if s.asJSON {
		return json.NewEncoder(out).Encode(r)
	}
	for _, change := range r.Changes {
		value := string(change.Value)
		if change.Deleted {
			value = "(deleted)"
		}
		if _, err := fmt.Fprintf(out, "%d\t%s\t%s\n", r.Number, change.Key, value); err != nil {
			return err
		}
	}
	return nil
}
