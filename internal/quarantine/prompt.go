package quarantine

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// boundIDs returns the ids of a prompt's parts within the bounds of a Table.
func boundIDs(prompt []string) []string {
	ids := make([]string, 0, min(len(prompt), maxParts))
	for _, id := range prompt[:min(len(prompt), maxParts)] {
		if len(id) > maxPartBytes {
			id = strconv.FormatUint(xxhash.Sum64String(id), 16)
		}
		ids = append(ids, id)
	}
	return ids
}

// containsAll reports whether the prompt has all of the parts.
func containsAll(prompt, parts []string) bool {
	for _, p := range parts {
		if !slices.Contains(prompt, p) {
			return false
		}
	}
	return true
}

// intersect returns the parts of a that are in b.
func intersect(a, b []string) []string {
	var common []string
	for _, p := range a {
		if slices.Contains(b, p) {
			common = append(common, p)
		}
	}
	return common
}

// without returns the parts of a that are not in b.
func without(a, b []string) []string {
	var rest []string
	for _, p := range a {
		if !slices.Contains(b, p) {
			rest = append(rest, p)
		}
	}
	return rest
}
