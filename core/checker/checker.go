// Package checker loads a program's TOML settings and validates them before the
// program starts its work. All problems of a file are reported together.
//
// # Usage
//
//	var s Settings
//	if err := checker.Load(path, &s); err != nil {
//		fmt.Fprintln(os.Stderr, err)
//		os.Exit(checker.ExitCode)
//	}
//
// If the settings struct implements Validator, its Check method is called after
// decoding. Every problem is reported with file and line.
package checker

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/BurntSushi/toml"
)

// ExitCode is the exit status of a program with invalid settings.
const ExitCode = 2

// Problem is an invalid or missing value in a settings file.
type Problem struct {
	Key     string // dotted key, such as "table.address" or "engine[1].address"
	Allowed string // what the value must be
}

// Validator is implemented by settings that validate their own values.
type Validator interface {
	// Check returns the problems of the settings.
	Check() []Problem
}

// Error lists the problems of a settings file.
type Error struct {
	File  string
	Lines []string // one message per problem, with file and line
}

// Error implements error.
func (e *Error) Error() string { return strings.Join(e.Lines, "\n") }

// Load decodes the file at path into target, a pointer to a struct, and validates
// it. Problems in the file are returned as an *Error; if the file cannot be read,
// the error is that of os.ReadFile.
func Load(path string, target any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Parse(path, string(text), target)
}

// Parse is like Load but takes the text of the settings; file is used only in
// messages.
func Parse(file, text string, target any) error {
	meta, err := toml.Decode(text, target)
	if err != nil {
		return &Error{File: file, Lines: []string{syntaxMessage(file, text, err)}}
	}
	bad := &Error{File: file}
	seen := map[string]int{}
	for _, k := range meta.Undecoded() {
		name := k.String()
		bad.Lines = append(bad.Lines, fmt.Sprintf("%s:%d: unknown key %q", file, findLine(text, name, seen[name]), name))
		seen[name]++
	}
	if c, ok := target.(Validator); ok {
		for _, p := range c.Check() {
			bad.Lines = append(bad.Lines, fmt.Sprintf("%s:%d: %s: %s", file, findLine(text, p.Key, 0), p.Key, p.Allowed))
		}
	}
	if len(bad.Lines) == 0 {
		return nil
	}
	return bad
}

// typeError matches the error of package toml for a value of the wrong type.
var typeError = regexp.MustCompile(`^toml: line (\d+) \(last key "(.*)"\): (.*)$`)

// syntaxMessage returns the message for an error of package toml.
func syntaxMessage(file, text string, err error) string {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return fmt.Sprintf("%s:%d: %s", file, parse.Position.Line, parse.Message)
	}
	if m := typeError.FindStringSubmatch(err.Error()); m != nil {
		return fmt.Sprintf("%s:%s: %s: %s", file, m[1], m[2], m[3])
	}
	return fmt.Sprintf("%s:1: %s", file, err)
}
