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
	exitCodeUsage   = 2 // invalid arguments or configuration
	exitCodeDamaged = 3 // acknowledged data of a durable store may be missing
)

// errConfig marks configuration errors, which exit with exitCodeUsage.
var errConfig = errors.New("configuration")

// exitError is an error with a specific exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// exitCodeOf returns the exit code for an error.
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

// usageError marks an error in the arguments with exitCodeUsage. It returns nil for nil.
func usageError(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{exitCodeUsage, err}
}

// noArgs is cobra.NoArgs with exitCodeUsage.
func noArgs(c *cobra.Command, args []string) error { return usageError(cobra.NoArgs(c, args)) }

// oneArg is cobra.ExactArgs(1) with exitCodeUsage.
func oneArg(c *cobra.Command, args []string) error { return usageError(cobra.ExactArgs(1)(c, args)) }

// printTimeout bounds the write of the final error message. A standard error whose reader has
// stopped reading must not keep the process from exiting.
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
