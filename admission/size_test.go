package admission

import (
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

// The module is to be ported by hand: it stays within 940 lines that aren't
// blank, of at most 110 characters, and names its interface at its top.
func TestModuleSize(t *testing.T) {
	text, err := os.ReadFile("rules.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(text), "\n")
	if !strings.Contains(lines[0], "api.go") {
		t.Error("the first line doesn't name api.go")
	}
	count := 0
	for i, l := range lines {
		if strings.TrimSpace(l) != "" {
			count++
		}
		if n := utf8.RuneCountInString(strings.ReplaceAll(l, "\t", "    ")); n > 110 {
			t.Errorf("line %d has %d characters", i+1, n)
		}
	}
	if count > 940 {
		t.Errorf("%d lines, 940 at most", count)
	}
}
