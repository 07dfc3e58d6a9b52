package hinter_test

import (
	"testing"

	"bamboohill/core/hinter"
)

// BenchmarkRead measures reading the marks of a prompt of 1 M tokens.
func BenchmarkRead(b *testing.B) {
	p := prompt(1953, 0)
	b.SetBytes(int64(len(p)))
	b.ReportAllocs()
	for b.Loop() {
		hinter.HashPrompt(p)
	}
}
