package mangoexplain

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"mangolane/core/mangomodel"
)

// timeFormat omits the date: the lines of one request are close in time.
const timeFormat = "15:04:05.000"

// WriteJSON writes a report for programs.
func WriteJSON(w io.Writer, r *Report) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return mangomodel.Errors.Wrap(enc.Encode(r))
}

// WriteText writes a report for people: the request's steps, their context, and
// the cause of the outcome.
func WriteText(w io.Writer, r *Report) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "Request %s\n", r.Request)
	writeLines(tw, r.Steps)
	if len(r.Context) > 0 {
		fmt.Fprintln(tw, "Meanwhile")
		writeLines(tw, r.Context)
	}
	fmt.Fprintf(tw, "Cause: %s\n", cause(r))
	if r.Unreadable > 0 {
		fmt.Fprintf(tw, "%d lines are no JSON\n", r.Unreadable)
	}
	return mangomodel.Errors.Wrap(tw.Flush())
}

func writeLines(w io.Writer, lines []Line) {
	for _, line := range lines {
		var fields []string
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			fields = append(fields, fmt.Sprintf("%s=%v", name, line.Fields[name]))
		}
		fmt.Fprintf(w, "  %s\t%s\t%s\t%s\n", line.Time.Format(timeFormat), line.Daemon, line.Message, strings.Join(fields, " "))
	}
}

// cause returns a one-line description of how a request ended.
func cause(r *Report) string {
	if r.Outcome == nil {
		return "the logs do not say how it ended"
	}
	f := r.Outcome.Fields
	if f["Cause"] == nil {
		if f["OnTime"] == true {
			return "none, it was answered in time"
		}
		return fmt.Sprintf("answered late: first after %v s, longest pause %v s, %v attempts", f["First"], f["LongestPause"], f["Attempts"]) + share(r)
	}
	run := "it may have run"
	if f["Run"] == mangomodel.RunNot.String() {
		run = "it was not run"
	}
	text := fmt.Sprintf("%v at step %v: %v (%s)", f["Code"], f["Step"], f["Cause"], run)
	if f["EndedBy"] != nil {
		text += fmt.Sprintf(", ended by %v", f["EndedBy"])
	}
	return text + share(r)
}

// share returns how a call was ordered among those of other workspaces, and what was
// wasted on it, or an empty text if its configuration had no workspaces.
func share(r *Report) string {
	f := r.Outcome.Fields
	if f["Workspace"] == nil {
		return ""
	}
	text := fmt.Sprintf(", workspace %q at priority %v, ahead of its share by %v", f["Workspace"], f["Priority"], f["Lead"])
	for _, line := range r.Steps {
		if line.Message == wasteMessage {
			text += fmt.Sprintf(", a prefill of %v tokens wasted: %v", line.Fields["Tokens"], line.Fields["Reason"])
		}
	}
	return text
}

// wasteMessage is the message of the line about a wasted prefill.
const wasteMessage = "prefill wasted"
