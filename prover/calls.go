package prover

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"bamboohill/prover/internal/launcher"
)

// Prompt returns a prompt that starts with name, followed by the given number of
// words of 8 bytes each.
func Prompt(words int, name string) string {
	var b strings.Builder
	b.WriteString(name)
	for i := range words {
		fmt.Fprintf(&b, " %07d", i)
	}
	return b.String()
}

// ask sends a prompt and checks its outcome, in the background if it has a name.
func (s *Script) ask(args []string) (string, error) {
	var numbers [3]int
	for i, text := range []string{args[0], args[2], args[3]} {
		n, err := parseEntry(text)
		if err != nil {
			return "", err
		}
		numbers[i] = n
	}
	p := launcher.PromptRequest{Entry: numbers[0], Tokens: int64(numbers[2])}
	as, prefix, same, again := "", "", false, false
	for _, arg := range args[4:] {
		key, value, _ := strings.Cut(arg, "=")
		switch key {
		case "whole":
			p.NonStream = true
		case "same":
			same = true
		case "again":
			again = true
		case "timeout":
			p.Timeout = value
		case "model":
			p.Model = value
		case "key":
			p.Key = value
		case "text":
			prefix = value
		case "as":
			as = value
		default:
			return "", fmt.Errorf("%w: %s", errUsage, arg)
		}
	}
	if !same {
		prefix += as
	}
	p.Prompt = Prompt(numbers[1], prefix)
	send := func() error { return s.Stack.SendPrompt(context.Background(), p) }
	if again {
		sendOnce := send
		send = func() error { return s.resend(sendOnce) }
	}
	return "", s.call(as, func() error { return checkOutcome(args[1], send()) })
}

// resend repeats send while the outcome is not-run, as callers do, and returns the
// last error.
func (s *Script) resend(send func() error) error {
	var lastErr error
	s.Stack.Until(func() error {
		if lastErr = send(); launcher.Outcome(lastErr) == "not-run" {
			return lastErr
		}
		return nil
	})
	return lastErr
}

// parseEntry parses the number of an entry, or the word balancer.
func parseEntry(arg string) (int, error) {
	if arg == "balancer" {
		return launcher.Balancer, nil
	}
	return launcher.ParseNumber(arg)
}

// book makes a booking and checks its outcome, in the background if it has a name.
func (s *Script) book(args []string) (string, error) {
	n, err := parseEntry(args[0])
	if err != nil {
		return "", err
	}
	as, timeout := "", ""
	for _, arg := range args[4:] {
		switch key, value, _ := strings.Cut(arg, "="); key {
		case "as":
			as = value
		case "timeout":
			timeout = value
		default:
			return "", fmt.Errorf("%w: %s", errUsage, arg)
		}
	}
	return "", s.call(as, func() error {
		_, err := s.Stack.Book(n, args[2], args[3], timeout)
		return checkOutcome(args[1], err)
	})
}

// call runs do and returns its error. If it has a name, it runs in the background
// and join returns the error.
func (s *Script) call(as string, do func() error) error {
	if as == "" {
		return do()
	}
	done := make(chan error, 1)
	s.mu.Lock()
	s.calls[as] = done
	s.mu.Unlock()
	go func() { done <- do() }()
	return nil
}

// join waits for a background call and returns its error.
func (s *Script) join(args []string) (string, error) {
	s.mu.Lock()
	done, found := s.calls[args[0]]
	s.mu.Unlock()
	if !found {
		return "", fmt.Errorf("%w: no background call %s", errUsage, args[0])
	}
	return "", <-done
}

// checkOutcome checks the outcome of a call. A text that is wrong, truncated or late
// is an error with any expected outcome.
func checkOutcome(want string, err error) error {
	if errors.Is(err, launcher.ErrWrongText) || errors.Is(err, launcher.ErrTruncated) || errors.Is(err, launcher.ErrLate) {
		return err
	}
	got := launcher.Outcome(err)
	var stream *launcher.StreamError
	if errors.As(err, &stream) {
		got = stream.Outcome
	}
	if want == "any" || slices.Contains(strings.Split(want, "|"), got) {
		return nil
	}
	return fmt.Errorf("prover: outcome %s, want %s: %w", got, want, errors.Join(err, errOutcome))
}

// errOutcome is returned for an outcome other than the expected ones.
var errOutcome = errors.New("prover: unexpected outcome")
