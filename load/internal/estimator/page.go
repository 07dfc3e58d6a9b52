package estimator

import (
	"fmt"
	"strings"
)

// Markers of the generated section of a page.
const (
	pageStart = "<!-- capacity: made by make capacity -->"
	pageEnd   = "<!-- capacity: end -->"
)

// PageError reports that a page is inconsistent with its own or the measured slopes.
type PageError struct {
	Cause string
}

// Error implements error.
func (e *PageError) Error() string { return "estimator: " + e.Cause }

// Section returns the generated section of a page: the slopes, then the lines.
func Section(s Slopes, z Size) string {
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

func split(page string) (before, section, after string, err error) {
	start := strings.Index(page, pageStart)
	end := strings.Index(page, pageEnd)
	if start < 0 || end < start {
		return "", "", "", &PageError{Cause: "page has no generated section between the markers"}
	}
	end += len(pageEnd)
	return page[:start], page[start:end], page[end:], nil
}

// ReplaceSection returns the page with its section regenerated, or a *PageError
// if the page has no section.
func ReplaceSection(page string, s Slopes, z Size) (string, error) {
	before, _, after, err := split(page)
	if err != nil {
		return "", err
	}
	return before + Section(s, z) + after, nil
}

// Check returns a *PageError if the page has no section, if its lines differ
// from those estimated from the page's own slopes, or if these slopes differ
// from the measured ones by more than their tolerances.
func Check(page string, measured Slopes, z Size) error {
	_, section, _, err := split(page)
	if err != nil {
		return err
	}
	stated, err := Read(strings.NewReader(section))
	if err != nil {
		return err
	}
	if Section(stated, z) != section {
		return &PageError{Cause: "page lines differ from those estimated from the page's slopes"}
	}
	if names := measured.Differ(stated); len(names) > 0 {
		return &PageError{Cause: strings.Join(names, "; ")}
	}
	return nil
}
