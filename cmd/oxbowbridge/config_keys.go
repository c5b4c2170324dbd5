package main

import (
	"maps"
	"slices"
)

// optionalKeys are the paths of keys that a complete file may lack, as the page on the wire protocol says.
var optionalKeys = []string{
	"settings.charges.fleet",
	"settings.classes.aim_stretch",
	"settings.family_info.passes_deadline",
}

// firstMissingKey returns the path of the first key that the file of an updated configuration lacks although the file of c
// has it, or "" if there is none. A key may have been lost by mistake, and what its default does is not what the
// operator wants: without records, all calls fail.
func (c *config) firstMissingKey(updated *config) string {
	exempt := slices.Clone(optionalKeys)
	if updated.EngineAddress == "" {
		exempt = append(exempt, "engine") // excluded by ajp.upstreams
	} else {
		exempt = append(exempt, "ajp.upstreams", "ajp.upstream_secret")
	}
	return keyComparison{exempt}.firstMissing(c.document, updated.document, "")
}

// keyComparison compares the keys of two JSON values.
type keyComparison struct {
	exempt []string // paths of keys that may be missing
}

// firstMissing returns the path of the first key, in alphabetical order, that the updated value lacks, or "". The argument path
// is the path of both values. Each element of an array needs the keys that all elements of the array before have, since
// elements may be added and removed.
func (k keyComparison) firstMissing(before, updated any, path string) string {
	switch before := before.(type) {
	case map[string]any:
		object, _ := updated.(map[string]any)
		return k.firstMissingInObject(before, object, path)
	case []any:
		elements, _ := updated.([]any)
		for _, element := range elements {
			if missing := k.firstMissing(commonKeys(before), element, path); missing != "" {
				return missing
			}
		}
	}
	return ""
}

func (k keyComparison) firstMissingInObject(before, updated map[string]any, path string) string {
	for _, key := range slices.Sorted(maps.Keys(before)) {
		keyPath := key
		if path != "" {
			keyPath = path + "." + key
		}
		switch {
		case isAbsent(before[key]) || slices.Contains(k.exempt, keyPath):
			continue
		case isAbsent(updated[key]):
			return keyPath
		}
		if missing := k.firstMissing(before[key], updated[key], keyPath); missing != "" {
			return missing
		}
	}
	return ""
}

// commonKeys returns the keys that all elements of an array have, with the values of the first one. It returns nil if an
// element is not an object.
func commonKeys(elements []any) any {
	var common map[string]any
	for i, element := range elements {
		object, ok := element.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			common = maps.Clone(object)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { return isAbsent(object[key]) })
	}
	return common
}

// isAbsent reports whether a JSON value has the same effect as an absent key.
func isAbsent(value any) bool { return value == nil || value == "" }
