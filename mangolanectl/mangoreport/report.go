// Package mangoreport reports what a check of the users' configuration document finds.
//
// # Usage
//
//	report, err := mangoreport.New(data, against, mangocheck.WithGracePeriod(grace))
//	err = report.WriteText(os.Stdout)
//	os.Exit(int(report.Status(strict)))
package mangoreport

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"mangolane/core/mangocheck"
	"mangolane/core/mangomodel"
	"mangolane/platform/mangotables"
)

// Status is the exit status of a check.
type Status int

// The exit statuses.
const (
	StatusOK Status = iota
	// StatusWarnings is for warnings where they are not accepted.
	StatusWarnings
	// StatusErrors is also for a file that cannot be read.
	StatusErrors
)

// Error is the error of a check that ends the process with a status.
type Error struct {
	Status Status
	// Err is nil if a report has been written.
	Err error
}

// Error describes the error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("the check ended with status %d", e.Status)
	}
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Report is the result of a check. Fields have the platform's names.
type Report struct {
	Findings    []mangocheck.Finding
	Differences []mangocheck.Difference
}

// New checks a document and compares it with an earlier one unless that is nil. A document
// that cannot be decoded is an error of the report; an earlier one is an error of New.
func New(data, against []byte, opts ...mangocheck.Option) (*Report, error) {
	// Programs get empty lists instead of null.
	r := &Report{Findings: []mangocheck.Finding{}, Differences: []mangocheck.Difference{}}
	doc, problems, err := mangotables.DecodeDocument(data)
	if err != nil {
		r.Findings = append(r.Findings, mangocheck.Finding{
			Severity: mangocheck.SeverityError, Subject: mangocheck.SubjectDocument, Value: err.Error(), Want: "a configuration",
		})
		return r, nil
	}
	for _, f := range mangocheck.Check(doc, problems, opts...) {
		f.Field = mangocheck.Field(mangotables.FieldName(f.Field))
		r.Findings = append(r.Findings, f)
	}
	if against == nil {
		return r, nil
	}
	before, _, err := mangotables.DecodeDocument(against)
	if err != nil {
		return nil, err
	}
	for _, d := range mangocheck.Compare(before, doc) {
		d.Field = mangocheck.Field(mangotables.FieldName(d.Field))
		r.Differences = append(r.Differences, d)
	}
	return r, nil
}

// Status returns the exit status. With strict, warnings count.
func (r *Report) Status(strict bool) Status {
	s := StatusOK
	for _, f := range r.Findings {
		switch {
		case f.Severity == mangocheck.SeverityError:
			return StatusErrors
		case strict:
			s = StatusWarnings
		}
	}
	return s
}

// WriteJSON writes the report for programs.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return mangomodel.Errors.Wrap(enc.Encode(r))
}

// WriteText writes the report for people, one line for each result.
func (r *Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, f := range r.Findings {
		fmt.Fprintf(tw, "%v\t%s\t%s\t%s\twant %s\n", f.Severity, f.Subject, f.Field, f.Value, f.Want)
	}
	for _, d := range r.Differences {
		fmt.Fprintf(tw, "%v\t%s\t%s\t%s\n", d.Change, d.Subject, d.Field, change(d))
	}
	return mangomodel.Errors.Wrap(tw.Flush())
}

func change(d mangocheck.Difference) string {
	switch d.Change {
	case mangocheck.ChangeAdded:
		return d.After
	case mangocheck.ChangeRemoved:
		return d.Before
	default:
		return d.Before + " -> " + d.After
	}
}
