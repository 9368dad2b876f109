package ladderfinding

import (
	"fmt"
	"sort"
	"strings"
)

// Place is a position in an input. Lines and columns are counted from 1; a Line of
// zero means the input as a whole.
type Place struct {
	File   string
	Line   int
	Column int
}

// String returns the place as file:line:column, or just the file if Line is zero.
func (p Place) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Finding is one mistake in an input.
type Finding struct {
	Place Place
	Text  string
}

// String returns the finding as "place: text", or just the text if the place is
// empty.
func (f Finding) String() string {
	if f.Place.File == "" && f.Place.Line == 0 {
		return f.Text
	}
	return f.Place.String() + ": " + f.Text
}

// List is a collection of findings. Its zero value is an empty list.
type List struct {
	findings []Finding
}

// Add appends a finding whose text is formatted as by [fmt.Sprintf].
func (l *List) Add(p Place, format string, args ...any) {
	l.findings = append(l.findings, Finding{Place: p, Text: fmt.Sprintf(format, args...)})
}

// Append appends the findings of another list.
func (l *List) Append(other List) { l.findings = append(l.findings, other.findings...) }

// Len returns the number of findings.
func (l *List) Len() int { return len(l.findings) }

// Findings returns the findings ordered by file, line and column. Findings with
// equal places keep the order in which they were added.
func (l *List) Findings() []Finding {
	sorted := append([]Finding(nil), l.findings...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i].Place, sorted[j].Place
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return sorted
}

// Err returns nil for an empty list and otherwise an [*Error] with all findings.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{Findings: l.Findings()}
}

// Error is an error that holds all findings of an input.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one on each line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
