// Package differ computes how a report of a backend server differs from an
// earlier one, so that only the changed fields are sent over the network.
//
// # Usage
//
//	base := differ.Base(first)
//	beat := differ.Diff(base, report)
//	report := differ.Apply(base, beat)
//
// All differences are computed from the same base, not from the report before,
// so each can be applied alone: lost or reordered ones do not affect the others.
// The cache events of a report are not part of a base, and a difference contains
// them all.
package differ

import (
	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Base returns a copy of a report without its cache events, from which
// differences can be computed.
func Base(report *wire.Report) *wire.Report {
	base := proto.Clone(report).(*wire.Report)
	base.Cached, base.Dropped, base.Gap, base.Noted = nil, nil, false, 0
	return base
}

// Diff returns the difference of next from a base: the fields that have changed
// or are newly set, and the numbers of those that were cleared. It shares memory
// with next.
func Diff(base, next *wire.Report) *wire.Beat {
	beat := &wire.Beat{Changed: &wire.Report{}}
	old, changed := base.ProtoReflect(), beat.Changed.ProtoReflect()
	next.ProtoReflect().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if !old.Has(f) || !old.Get(f).Equal(v) {
			changed.Set(f, v)
		}
		return true
	})
	old.Range(func(f protoreflect.FieldDescriptor, _ protoreflect.Value) bool {
		if !next.ProtoReflect().Has(f) {
			beat.Cleared = append(beat.Cleared, uint32(f.Number()))
		}
		return true
	})
	return beat
}

// Apply returns the report with the given difference from a base. It shares
// memory with the difference. Numbers of unknown fields, which a newer sender may
// have cleared, are ignored.
func Apply(base *wire.Report, beat *wire.Beat) *wire.Report {
	report := proto.Clone(base).(*wire.Report)
	fields := report.ProtoReflect()
	for _, n := range beat.GetCleared() {
		if f := fields.Descriptor().Fields().ByNumber(protoreflect.FieldNumber(n)); f != nil {
			fields.Clear(f)
		}
	}
	beat.GetChanged().ProtoReflect().Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		fields.Set(f, v)
		return true
	})
	return report
}
