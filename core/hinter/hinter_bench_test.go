package hinter_test

import (
	"testing"

	"bamboohill/core/hinter"
)

// BenchmarkHashPrompt measures hashing a prompt of 1 M tokens.
func BenchmarkHashPrompt(b *testing.B) {
	p := prompt(1953, 0)
	b.SetBytes(int64(len(p)))
	b.ReportAllocs()
	for b.Loop() {
		hinter.HashPrompt(p)
	}
}
