package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNoticeAfterStandstill: looks that follow a standstill closely do not count yet: the notice may
// have come during it.
func TestNoticeAfterStandstill(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	looks := []time.Time{at(0), at(25), at(50), at(400), at(400), at(401), at(425), at(450)}
	require.Equal(t, at(50), settledLooks(looks, at(470))[0], "the last one before the standstill")
	require.Equal(t, at(401), settledLooks(looks, at(501))[0])
	require.Equal(t, at(0), settledLooks(looks[:1], at(500))[0], "there is always one")
}
