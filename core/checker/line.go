package checker

import (
	"fmt"
	"regexp"
	"strings"
)

// arrayIndex matches the index of an element in an array of tables.
var arrayIndex = regexp.MustCompile(`\[\d+\]`)

// findLine returns the line, counted from 1, that sets a dotted key. If the key is
// missing, it returns the line of the innermost table that would contain it, or 1.
// A key without array indexes matches all elements of the arrays, and the result
// is the line of the nth match, counted from 0.
func findLine(text, key string, nth int) int {
	numbered := arrayIndex.MatchString(key)
	longest, at := 0, 1
	for i, path := range linePaths(text) {
		if !numbered {
			path = arrayIndex.ReplaceAllString(path, "")
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

// linePaths returns for each line the dotted key that it sets or the table that it
// opens, or "". Elements of an array of tables are numbered from 0.
func linePaths(text string) []string {
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
