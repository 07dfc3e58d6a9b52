package checker

import (
	"fmt"
	"regexp"
	"strings"
)

// index is the number of an element in an array of tables.
var index = regexp.MustCompile(`\[\d+\]`)

// find returns the line, counted from 1, that sets a dotted key; the line of
// the innermost table around it if the key is missing; or 1. A key without the
// numbers of array elements stands for all of them, and its line is that of
// the nth match, counted from 0.
func find(text, key string, nth int) int {
	numbered := index.MatchString(key)
	longest, at := 0, 1
	for i, path := range paths(text) {
		if !numbered {
			path = index.ReplaceAllString(path, "")
		}
		switch {
		case path == "":
		case path == key && nth == 0:
			return i + 1
		case path == key:
			nth--
		case len(path) > longest && strings.HasPrefix(key, path+"."):
			longest, at = len(path), i+1
		}
	}
	return at
}

// paths returns the dotted key that each line sets or opens, empty for others.
// Elements of an array of tables are numbered from 0.
func paths(text string) []string {
	var all []string
	table := ""
	count := map[string]int{}
	for l := range strings.SplitSeq(text, "\n") {
		l = strings.TrimSpace(l)
		name := strings.Trim(strings.TrimSpace(strings.SplitN(l, "#", 2)[0]), "[] ")
		key, _, found := strings.Cut(l, "=")
		switch {
		case strings.HasPrefix(l, "[["):
			table = fmt.Sprintf("%s[%d]", name, count[name])
			count[name]++
			all = append(all, table)
		case strings.HasPrefix(l, "["):
			table = name
			all = append(all, table)
		case found && !strings.HasPrefix(l, "#"):
			all = append(all, join(table, strings.Trim(strings.TrimSpace(key), `"`)))
		default:
			all = append(all, "")
		}
	}
	return all
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
