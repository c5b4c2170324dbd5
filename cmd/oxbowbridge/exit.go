package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitCodeFailure = 1
	exitCodeUsage   = 2 // bad arguments, or a bad configuration
	exitCodeDamaged = 3 // acknowledged data may be missing
)

// errConfig marks errors of the configuration.
var errConfig = errors.New("configuration")

// exitError is a failure with an exit code of its own.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the failure.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the failure.
func (e *exitError) Unwrap() error { return e.err }

// exitCodeOf is the exit code for a failure.
func exitCodeOf(err error) int {
	var exit *exitError
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.Is(err, errConfig):
		return exitCodeUsage
	}
	return exitCodeFailure
}

// usageError gives an error of the arguments its exit code; nil stays nil.
func usageError(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{exitCodeUsage, err}
}

// noArgs is cobra.NoArgs with the exit code of bad arguments.
func noArgs(c *cobra.Command, args []string) error { return usageError(cobra.NoArgs(c, args)) }

// oneArg is cobra.ExactArgs(1) with the exit code of bad arguments.
func oneArg(c *cobra.Command, args []string) error { return usageError(cobra.ExactArgs(1)(c, args)) }

// printTimeout is how long the last message may take to be written: a standard error that
// nobody reads must not keep the process from ending.
const printTimeout = 100 * time.Millisecond

func printError(err error) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		fmt.Fprintln(os.Stderr, "oxbowbridge:", err)
	}()
	select {
	case <-written:
	case <-time.After(printTimeout):
	}
}
