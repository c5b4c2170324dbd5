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

// timeToNextBackup returns the time until the next backup is due, or 0 if it is due now. If the last
// backup is in the future, its timestamp comes from a clock that is ahead. It then counts as taken now.
func timeToNextBackup(last, now time.Time, interval time.Duration) time.Duration {
	if last.IsZero() {
		return 0
	}
	age := max(0, now.Sub(last))
	return max(0, interval-age)
}

// backupNamePattern matches the file names of scheduled backups, which contain the Unix time in
// milliseconds and the revision.
var backupNamePattern = regexp.MustCompile(`^oxbowbridge-([0-9]{13,16})-([0-9]+)\.backup$`)

// partialNamePattern matches the names of temporary files of scheduled backups. They remain if a process
// crashes while it writes a backup.
var partialNamePattern = regexp.MustCompile(`^oxbowbridge-[0-9]{13,16}-[0-9]+\.backup` +
	regexp.QuoteMeta(atomicfile.TemporaryInfix) + `[0-9]+$`)

// backupFileName returns the file name of a scheduled backup. Later backups have names that sort later.
func backupFileName(at time.Time, revision uint64) string {
	return fmt.Sprintf("oxbowbridge-%013d-%d.backup", at.UnixMilli(), revision)
}

// filesToRemove returns the backups to delete so that the maxFiles newest ones remain, and all temporary
// files. Deleting temporary files is safe, because no other backup is being written, except by a node
// that has lost the lease and must discard its backup. Files with other names are never returned.
func filesToRemove(names []string, maxFiles int) (remove []string) {
	timesMS := map[string]int64{}
	var backups []string
	for _, name := range names {
		if partialNamePattern.MatchString(name) {
			remove = append(remove, name)
		}
		if match := backupNamePattern.FindStringSubmatch(name); match != nil {
			timesMS[name], _ = strconv.ParseInt(match[1], 10, 64) // cannot fail: at most 16 digits
			backups = append(backups, name)
		}
	}
	slices.SortFunc(backups, func(a, b string) int {
		return cmp.Or(cmp.Compare(timesMS[b], timesMS[a]), cmp.Compare(b, a))
	})
	return append(remove, backups[min(maxFiles, len(backups)):]...)
}
