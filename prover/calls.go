package prover

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"bamboohill/prover/internal/launcher"
)

// Prompt returns a prompt of the given number of words of 8 bytes each.
func Prompt(words int, name string) string {
	var b strings.Builder
	b.WriteString(name)
	for i := range words {
		fmt.Fprintf(&b, " %07d", i)
	}
	return b.String()
}

func (s *Script) ask(w []string) (string, error) {
	var numbers [3]int
	for i, text := range []string{w[0], w[2], w[3]} {
		n, err := parseEntry(text)
		if err != nil {
			return "", err
		}
		numbers[i] = n
	}
	p := launcher.PromptRequest{Entry: numbers[0], Tokens: int64(numbers[2])}
	as, start, same, again := "", "", false, false
	for _, word := range w[4:] {
		key, value, _ := strings.Cut(word, "=")
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
			start = value
		case "as":
			as = value
		default:
			return "", fmt.Errorf("%w: %s", errUsage, word)
		}
	}
	if !same {
		start += as
	}
	p.Prompt = Prompt(numbers[1], start)
	send := func() error { return s.Stack.SendPrompt(context.Background(), p) }
	if again {
		once := send
		send = func() error { return s.resend(once) }
	}
	return "", s.call(as, func() error { return checkOutcome(w[1], send()) })
}

// resend calls again while the outcome is not run, as a caller does.
func (s *Script) resend(send func() error) error {
	var last error
	s.Stack.Until(func() error {
		if last = send(); launcher.Outcome(last) == "not-run" {
			return last
		}
		return nil
	})
	return last
}

// entry returns the number of an entry, or that of the balancer.
func parseEntry(word string) (int, error) {
	if word == "balancer" {
		return launcher.Balancer, nil
	}
	return launcher.ParseNumber(word)
}

func (s *Script) book(w []string) (string, error) {
	n, err := parseEntry(w[0])
	if err != nil {
		return "", err
	}
	as, timeout := "", ""
	for _, word := range w[4:] {
		switch key, value, _ := strings.Cut(word, "="); key {
		case "as":
			as = value
		case "timeout":
			timeout = value
		default:
			return "", fmt.Errorf("%w: %s", errUsage, word)
		}
	}
	return "", s.call(as, func() error {
		_, err := s.Stack.Book(n, w[2], w[3], timeout)
		return checkOutcome(w[1], err)
	})
}

// call runs a call now, or beside the script if it has a name.
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

func (s *Script) join(w []string) (string, error) {
	s.mu.Lock()
	done, found := s.calls[w[0]]
	s.mu.Unlock()
	if !found {
		return "", fmt.Errorf("%w: no call %s", errUsage, w[0])
	}
	return "", <-done
}

// expect checks a call's outcome. A wrong or silently cut text fails always.
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

var errOutcome = errors.New("prover: another outcome")
