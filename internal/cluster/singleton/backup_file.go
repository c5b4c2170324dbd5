package singleton

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"time"

	"oxbowbridge/internal/storage/atomicfile"
)

// timeToNextBackup is how long until the next backup; 0 is now. A last backup that lies in the future was dated
// by a clock that is ahead, and counts as taken now.
func timeToNextBackup(last, now time.Time, interval time.Duration) time.Duration {
	if last.IsZero() {
		return 0
	}
	age := max(0, now.Sub(last))
	return max(0, interval-age)
}

// backupNamePattern matches the names of scheduled backups: Unix milliseconds and revision.
var backupNamePattern = regexp.MustCompile(`^oxbowbridge-([0-9]{13,16})-([0-9]+)\.backup$`)

// partialNamePattern matches what a process that died while it wrote a scheduled backup left behind.
var partialNamePattern = regexp.MustCompile(`^oxbowbridge-[0-9]{13,16}-[0-9]+\.backup` +
	regexp.QuoteMeta(atomicfile.TemporaryInfix) + `[0-9]+$`)

// backupFileName is a backup's name. Names of later backups sort later.
func backupFileName(at time.Time, revision uint64) string {
	return fmt.Sprintf("oxbowbridge-%013d-%d.backup", at.UnixMilli(), revision)
}

// filesToRemove are the files to be removed so that the newest ones are kept, and partial ones: no backup is
// being written, unless by a node that has lost the lease and has to discard it. Files with other names are never
// among them.
func filesToRemove(names []string, maxFiles int) (remove []string) {
	timesMS := map[string]int64{}
	var backups []string
	for _, name := range names {
		if partialNamePattern.MatchString(name) {
			remove = append(remove, name)
		}
		if match := backupNamePattern.FindStringSubmatch(name); match != nil {
			timesMS[name], _ = strconv.ParseInt(match[1], 10, 64) // 16 digits at most
			backups = append(backups, name)
		}
	}
	slices.SortFunc(backups, func(a, b string) int {
		return cmp.Or(cmp.Compare(timesMS[b], timesMS[a]), cmp.Compare(b, a))
	})
	return append(remove, backups[min(maxFiles, len(backups)):]...)
}
