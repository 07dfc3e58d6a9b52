// Package wire contains the messages and services that the system's processes
// exchange, generated from wire.proto and outstanding.proto.
//
// # Usage
//
// Edit wire.proto, then run "make generate", which needs protoc and the two
// generators that the Makefile names. The generated files are committed, so a
// build needs none of them.
//
// Durations on the wire are remaining times in milliseconds, never timestamps.
// Receivers ignore unknown fields.
package wire
