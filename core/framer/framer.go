// Package framer reads and writes the frames of an attempt's answer. The reader
// checks that every frame belongs to the attempt, that no position is repeated or
// skipped, and that the answer ends with an end frame or a refusal.
//
// # Usage
//
//	r := framer.NewReader(framer.ReaderConfig{Request: id, Attempt: attempt, Source: body})
//	for {
//		f, err := r.Next()
//		...
//	}
//
// Next does not return a frame that fails a check; it returns a *BrokenError, and
// the caller can resume at Position on another backend server.
package framer

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"bamboohill/core/identifier"
	"bamboohill/wire"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protodelim"
)

// maxFrameBytes is the maximum size of a frame that is read.
const maxFrameBytes = 4 << 20

// BrokenError is returned if the rest of an answer is missing or invalid.
type BrokenError struct {
	Request  identifier.Request
	Attempt  identifier.Attempt
	Position int64  // next expected position
	Cause    string // what is wrong
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("framer: answer of attempt %s is invalid at position %d: %s", e.Attempt, e.Position, e.Cause)
}

// Writer writes the frames of one attempt. Its methods return errors of encoding a
// frame or writing it to the sink. It is not safe for concurrent use.
type Writer struct {
	request  string
	attempt  string
	sink     io.Writer
	hash     *xxhash.Digest
	position int64
	flush    func()
}

// WriterConfig describes a Writer. Flush is called after each frame; it may be
// nil.
type WriterConfig struct {
	Request  string
	Attempt  string
	Sink     io.Writer
	Position int64 // of the first token or byte to be written
	Flush    func()
}

// NewWriter returns a Writer.
func NewWriter(config WriterConfig) *Writer {
	if config.Flush == nil {
		config.Flush = func() {}
	}
	return &Writer{
		request:  config.Request,
		attempt:  config.Attempt,
		sink:     config.Sink,
		hash:     xxhash.New(),
		position: config.Position,
		flush:    config.Flush,
	}
}

// Position returns the next position to be written.
func (w *Writer) Position() int64 { return w.position }

// Accept writes the frame that confirms that the gate has accepted the proposal.
func (w *Writer) Accept(report *wire.Report) error {
	return w.write(&wire.Frame{Body: &wire.Frame_Accepted{Accepted: &wire.Accepted{Report: report}}})
}

// Tokens writes the texts of the next tokens, one position each.
func (w *Writer) Tokens(texts []string) error {
	for _, t := range texts {
		w.hash.WriteString(t)
	}
	body := &wire.Tokens{Position: w.position, Texts: texts}
	w.position += int64(len(texts))
	return w.write(&wire.Frame{Body: &wire.Frame_Tokens{Tokens: body}})
}

// Head writes the status of a plain service's answer.
func (w *Writer) Head(head *wire.Head) error {
	return w.write(&wire.Frame{Body: &wire.Frame_Head{Head: head}})
}

// Data writes the next bytes of a plain service's answer.
func (w *Writer) Data(data []byte) error {
	w.hash.Write(data)
	body := &wire.Data{Position: w.position, Bytes: data}
	w.position += int64(len(data))
	return w.write(&wire.Frame{Body: &wire.Frame_Data{Data: body}})
}

// End writes the end frame. It sets Length and Hash of end.
func (w *Writer) End(end *wire.End) error {
	end.Length = w.position
	end.Hash = w.hash.Sum64()
	return w.write(&wire.Frame{Body: &wire.Frame_End{End: end}})
}

// Refuse writes the frame that ends an attempt without a complete answer.
func (w *Writer) Refuse(refused *wire.Refused) error {
	return w.write(&wire.Frame{Body: &wire.Frame_Refused{Refused: refused}})
}

// write writes a frame with the ids of the request and the attempt.
func (w *Writer) write(f *wire.Frame) error {
	f.Request = w.request
	f.Attempt = w.attempt
	if _, err := protodelim.MarshalTo(w.sink, f); err != nil {
		return err
	}
	w.flush()
	return nil
}

// Reader reads and checks the frames of one attempt.
type Reader struct {
	request  identifier.Request
	attempt  identifier.Attempt
	source   *bufio.Reader
	hash     *xxhash.Digest
	position int64
	ended    bool
}

// ReaderConfig describes a Reader.
type ReaderConfig struct {
	Request  identifier.Request
	Attempt  identifier.Attempt
	Source   io.Reader
	Position int64 // of the first expected token or byte
}

// NewReader returns a Reader.
func NewReader(config ReaderConfig) *Reader {
	return &Reader{
		request:  config.Request,
		attempt:  config.Attempt,
		source:   bufio.NewReader(config.Source),
		hash:     xxhash.New(),
		position: config.Position,
	}
}

// Position returns the next expected position.
func (r *Reader) Position() int64 { return r.position }

// Ended reports whether the end frame or a refusal has been read.
func (r *Reader) Ended() bool { return r.ended }

// Next returns the next frame. After the end frame or a refusal it returns
// io.EOF. If the source ends earlier, or if a frame fails a check, it returns a
// *BrokenError.
func (r *Reader) Next() (*wire.Frame, error) {
	if r.ended {
		return nil, io.EOF
	}
	f := &wire.Frame{}
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	if err := options.UnmarshalFrom(r.source, f); err != nil {
		return nil, r.newBrokenError(causeOf(err))
	}
	if f.GetRequest() != string(r.request) || f.GetAttempt() != string(r.attempt) {
		return nil, r.newBrokenError("frame belongs to another attempt")
	}
	if err := r.check(f); err != nil {
		return nil, err
	}
	return f, nil
}

// check verifies the position, length and hash of a frame and advances the
// Reader.
func (r *Reader) check(f *wire.Frame) error {
	switch b := f.GetBody().(type) {
	case *wire.Frame_Tokens:
		if b.Tokens.GetPosition() != r.position {
			return r.newBrokenError(fmt.Sprintf("unexpected position %d", b.Tokens.GetPosition()))
		}
		for _, t := range b.Tokens.GetTexts() {
			r.hash.WriteString(t)
		}
		r.position += int64(len(b.Tokens.GetTexts()))
	case *wire.Frame_Data:
		if b.Data.GetPosition() != r.position {
			return r.newBrokenError(fmt.Sprintf("unexpected position %d", b.Data.GetPosition()))
		}
		r.hash.Write(b.Data.GetBytes())
		r.position += int64(len(b.Data.GetBytes()))
	case *wire.Frame_End:
		if b.End.GetLength() != r.position {
			return r.newBrokenError(fmt.Sprintf("unexpected length %d", b.End.GetLength()))
		}
		if b.End.GetHash() != r.hash.Sum64() {
			return r.newBrokenError("hash mismatch")
		}
		r.ended = true
	case *wire.Frame_Refused:
		r.ended = true
	case *wire.Frame_Accepted, *wire.Frame_Head:
	default:
		return r.newBrokenError("unknown frame type")
	}
	return nil
}

func (r *Reader) newBrokenError(cause string) error {
	return &BrokenError{Request: r.request, Attempt: r.attempt, Position: r.position, Cause: cause}
}

// causeOf returns the cause of a BrokenError for an error of the source.
func causeOf(err error) string {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "source ended without an end frame"
	}
	return err.Error()
}
