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
	"strings"

	"github.com/BurntSushi/toml"
)

// ExitCode is the exit status of a program whose settings are bad.
const ExitCode = 2

// Problem is one fault in a settings file.
type Problem struct {
	Key     string // dotted, as in "table.address"
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
	for _, k := range meta.Undecoded() {
		bad.Lines = append(bad.Lines, fmt.Sprintf("%s:%d: unknown key %q", file, line(text, k.String()), k.String()))
	}
	if c, ok := target.(Checked); ok {
		for _, p := range c.Check() {
			bad.Lines = append(bad.Lines, fmt.Sprintf("%s:%d: %s: %s", file, line(text, p.Key), p.Key, p.Allowed))
		}
	}
	if len(bad.Lines) == 0 {
		return nil
	}
	return bad
}

func syntax(file, text string, err error) string {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return fmt.Sprintf("%s:%d: %s", file, parse.Position.Line, parse.Message)
	}
	message := err.Error()
	for i, l := range strings.Split(text, "\n") {
		k, _, found := strings.Cut(l, "=")
		if found && strings.Contains(message, strings.TrimSpace(k)) && strings.TrimSpace(k) != "" {
			return fmt.Sprintf("%s:%d: %s", file, i+1, message)
		}
	}
	return fmt.Sprintf("%s:1: %s", file, message)
}

// line returns the line, counted from 1, that sets the dotted key, the line of
// its table if the key is missing, or 1.
func line(text, key string) int {
	table, name := "", key
	if i := strings.LastIndex(key, "."); i >= 0 {
		table, name = key[:i], key[i+1:]
	}
	current, fallback := "", 1
	for i, l := range strings.Split(text, "\n") {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "[") {
			current = strings.Trim(strings.TrimSpace(strings.SplitN(l, "#", 2)[0]), "[] ")
			if current == table || current == key {
				fallback = i + 1
			}
			continue
		}
		k, _, found := strings.Cut(l, "=")
		if found && current == table && strings.Trim(strings.TrimSpace(k), `"`) == name {
			return i + 1
		}
	}
	return fallback
}
