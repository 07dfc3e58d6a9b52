// Package differ says how one report of a backend server differs from an
// earlier one, so that only what has changed goes over the network.
//
// # Usage
//
//	base := differ.Base(first)
//	beat := differ.Diff(base, report)
//	report := differ.Apply(base, beat)
//
// Every difference is from the same base, never from the difference before, so
// each stands alone: lost ones leave no trace and overtaken ones do no harm. The
// cache events of a report are its own and are no part of a base.
package differ

import (
	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Base returns a copy of a report without its cache events, to be told
// differences from.
func Base(report *wire.Report) *wire.Report {
	base := proto.Clone(report).(*wire.Report)
	base.Cached, base.Dropped, base.Gap, base.Noted = nil, nil, false, 0
	return base
}

// Diff returns what differs in next from a base. It shares memory with next.
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

// Apply returns the report that a difference from a base stands for. It shares
// memory with the difference. Numbers of fields that this program does not know
// are passed over.
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
