package singleton

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"time"
)

// BackupNote is what the store says of the last scheduled backup.
type BackupNote struct {
	TimeMS   int64  `json:"time_ms"` // Unix milliseconds, by the clock of the node that wrote it
	Node     string `json:"node"`
	File     string `json:"file"`
	Revision uint64 `json:"revision"`
	SHA256   string `json:"sha256"`
}

// dueIn is how long until the next backup; 0 is now. A last one that lies in the future
// was dated by a clock that is ahead: it counts as if it had been written now.
func dueIn(last, now time.Time, every time.Duration) time.Duration {
	if last.IsZero() {
		return 0
	}
	return max(0, every-max(0, now.Sub(last)))
}

var backupName = regexp.MustCompile(`^oxbowbridge-([0-9]{13,16})-([0-9]+)\.backup$`)

// fileName of a backup; names of later ones sort later.
func fileName(at time.Time, revision uint64) string {
	return fmt.Sprintf("oxbowbridge-%013d-%d.backup", at.UnixMilli(), revision)
}

// surplus are the files to be removed so that the newest are kept. What has another form
// of name is not touched.
func surplus(names []string, keep int) (old []string) {
	at := map[string]int64{}
	var ours []string
	for _, n := range names {
		if m := backupName.FindStringSubmatch(n); m != nil {
			at[n], _ = strconv.ParseInt(m[1], 10, 64)
			ours = append(ours, n)
		}
	}
	slices.SortFunc(ours, func(a, b string) int { return cmp.Or(cmp.Compare(at[b], at[a]), cmp.Compare(b, a)) })
	return ours[min(keep, len(ours)):]
}
