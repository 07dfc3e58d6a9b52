package estimator

import (
	"fmt"
	"strings"
)

// Marks of the part of a page that is worked out.
const (
	pageStart = "<!-- capacity: made by make capacity -->"
	pageEnd   = "<!-- capacity: end -->"
)

// PageError says why a page does not follow from its slopes.
type PageError struct {
	Cause string
}

// Error implements error.
func (e *PageError) Error() string { return "estimator: " + e.Cause }

// Part returns the worked-out part of a page: the slopes, then the lines.
func Part(s Slopes, z Size) string {
	var b strings.Builder
	b.WriteString(pageStart + "\n```\n")
	for _, l := range s.Lines() {
		b.WriteString(l + "\n")
	}
	b.WriteString("```\n\n```\n")
	for _, l := range Lines(s, z) {
		fmt.Fprintln(&b, l)
	}
	b.WriteString("```\n" + pageEnd)
	return b.String()
}

func cut(page string) (before, part, after string, err error) {
	start := strings.Index(page, pageStart)
	end := strings.Index(page, pageEnd)
	if start < 0 || end < start {
		return "", "", "", &PageError{Cause: "page has no marked part"}
	}
	end += len(pageEnd)
	return page[:start], page[start:end], page[end:], nil
}

// Write returns the page with its part made anew.
func Write(page string, s Slopes, z Size) (string, error) {
	before, _, after, err := cut(page)
	if err != nil {
		return "", err
	}
	return before + Part(s, z) + after, nil
}

// Check reports a *PageError if the page's lines don't follow from the page's
// own slopes, or if these differ from newly measured ones by more than their
// tolerances.
func Check(page string, measured Slopes, z Size) error {
	_, part, _, err := cut(page)
	if err != nil {
		return err
	}
	stated, err := Read(strings.NewReader(part))
	if err != nil {
		return err
	}
	if Part(stated, z) != part {
		return &PageError{Cause: "the page's lines don't follow from its slopes"}
	}
	if names := measured.Differ(stated); len(names) > 0 {
		return &PageError{Cause: strings.Join(names, "; ")}
	}
	return nil
}
