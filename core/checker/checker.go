// Package checker reads a program's TOML settings and checks them as a whole
// before anything starts.
//
// # Usage
//
//	var s Settings
//	if err := checker.Load(path, &s); err != nil {
//		fmt.Fprintln(os.Stderr, err)
//		os.Exit(checker.ExitCode)
//	}
//
// A settings struct that implements Checked is asked for its own problems
// after decoding; every problem is reported with its file and line.
package checker

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/BurntSushi/toml"
)

// ExitCode is the exit status of a program whose settings are bad.
const ExitCode = 2

// Problem is one fault in a settings file.
type Problem struct {
	Key     string // dotted, as in "table.address" or "engine[1].address"
	Allowed string // what may stand there
}

// Checked is implemented by settings that check their own values.
type Checked interface {
	Check() []Problem
}

// Error lists the faults of one file.
type Error struct {
	File  string
	Lines []string // one text for each fault, with file and line
}

// Error implements error.
func (e *Error) Error() string { return strings.Join(e.Lines, "\n") }

// Load decodes the file at path into target, a pointer to a struct, and checks
// it. Faults of the file are an *Error; a file that can't be read is the
// error of os.ReadFile.
func Load(path string, target any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Parse(path, string(text), target)
}

// Parse is Load on a text; file is used in messages only.
func Parse(file, text string, target any) error {
	meta, err := toml.Decode(text, target)
	if err != nil {
		return &Error{File: file, Lines: []string{syntax(file, text, err)}}
	}
	bad := &Error{File: file}
	seen := map[string]int{}
	for _, k := range meta.Undecoded() {
		name := k.String()
		bad.Lines = append(bad.Lines, fmt.Sprintf("%s:%d: unknown key %q", file, find(text, name, seen[name]), name))
		seen[name]++
	}
	if c, ok := target.(Checked); ok {
		for _, p := range c.Check() {
			bad.Lines = append(bad.Lines, fmt.Sprintf("%s:%d: %s: %s", file, find(text, p.Key, 0), p.Key, p.Allowed))
		}
	}
	if len(bad.Lines) == 0 {
		return nil
	}
	return bad
}

// badType is the text of a value that does not fit its key.
var badType = regexp.MustCompile(`^toml: line (\d+) \(last key "(.*)"\): (.*)$`)

func syntax(file, text string, err error) string {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return fmt.Sprintf("%s:%d: %s", file, parse.Position.Line, parse.Message)
	}
	if m := badType.FindStringSubmatch(err.Error()); m != nil {
		return fmt.Sprintf("%s:%s: %s: %s", file, m[1], m[2], m[3])
	}
	return fmt.Sprintf("%s:1: %s", file, err)
}
