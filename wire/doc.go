// Package wire holds the messages and services that the system's processes
// exchange, generated from wire.proto.
//
// # Usage
//
// Edit wire.proto, then run "make generate", which needs protoc and the two
// generators that the Makefile names. The generated files are committed, so a
// build needs none of them.
//
// Every duration on the wire is the time that remains, in milliseconds, and
// never a reading of a clock. A receiver ignores fields that it does not know.
package wire
