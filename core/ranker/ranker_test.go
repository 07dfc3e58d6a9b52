package ranker

import (
	"fmt"
	"slices"
	"testing"
)

func names(prefix string, n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("%s%d:7000", prefix, i))
	}
	return all
}

func TestInTopAgreesWithTop(t *testing.T) {
	entries := names("10.0.0.", 40)
	for _, key := range names("engine", 200) {
		top := Top(key, entries, 4)
		for _, e := range entries {
			if got := InTop(key, entries, e, 4); got != slices.Contains(top, e) {
				t.Fatalf("InTop(%s, %s) = %v, Top = %v", key, e, got, top)
			}
		}
	}
}

func TestKeysAreEvenlyDistributed(t *testing.T) {
	const copies = 4
	entries := names("10.0.0.", 340)
	count := map[string]int{}
	keys := names("engine", 12_000)
	for _, key := range keys {
		for _, e := range Top(key, entries, copies) {
			count[e]++
		}
	}
	mean := copies * len(keys) / len(entries)
	least, most := len(keys), 0
	for _, e := range entries {
		least, most = min(least, count[e]), max(most, count[e])
	}
	t.Logf("entries=%d keys=%d mean=%d least=%d most=%d", len(entries), len(keys), mean, least, most)
	if least < mean*6/10 || most > mean*14/10 {
		t.Errorf("keys per entry range from %d to %d, mean %d", least, most, mean)
	}
}

func TestRemovalMovesOnlyOwnKeys(t *testing.T) {
	entries := names("10.0.0.", 40)
	for _, key := range names("engine", 500) {
		before := Top(key, entries, 1)
		after := Top(key, entries[1:], 1)
		if before[0] != entries[0] && before[0] != after[0] {
			t.Fatalf("%s moved from %s to %s", key, before[0], after[0])
		}
	}
}

func BenchmarkInTop(b *testing.B) {
	entries := names("10.0.0.", 340)
	for b.Loop() {
		InTop("engine7", entries, entries[9], 1)
	}
}
