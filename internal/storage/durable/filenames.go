package durable

import (
	"fmt"
	"strconv"
	"strings"
)

// LockName is the name of the folder's lock file.
const LockName = "LOCK"

// The names of a store's other files.
const (
	manifestName     = "MANIFEST"
	manifestTempName = "MANIFEST.tmp"
	reserveName      = "RESERVE"
	segmentSuffix    = ".log"
	checkpointSuffix = ".ckp"
	// quarantinePrefix is the prefix of files that a repair took out of use.
	quarantinePrefix = "damaged-"
)

func segmentName(n uint32) string    { return fmt.Sprintf("%08d%s", n, segmentSuffix) }
func checkpointName(n uint32) string { return fmt.Sprintf("%08d%s", n, checkpointSuffix) }

// parseNumberedName parses the number of a name that segmentName or checkpointName
// returned.
func parseNumberedName(name, suffix string) (uint32, bool) {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 32)
	if err != nil || n == 0 || fmt.Sprintf("%08d", n) != digits {
		return 0, false
	}
	return uint32(n), true
}
