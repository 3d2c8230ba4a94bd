// Package mangoexplain follows one request through the logs of daemons.
//
// The logs of all daemons may be read one after the other, in any order. Lines
// that are no JSON are counted and passed over.
//
// # Usage
//
//	report, err := mangoexplain.Read(os.Stdin, "9c41d07be2a35f68")
//	err = mangoexplain.WriteText(os.Stdout, report)
package mangoexplain

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"time"

	"mangolane/core/mangomodel"
)

const (
	// maxLine bounds a log line; the longest ones list a cause of some hundred
	// bytes.
	maxLine = 1 << 20
	// contextTime is how long before a request's first line something that
	// happened to its servers, or to the platform, counts as its context.
	contextTime = 5 * time.Second
	// maxContext bounds the lines of context that are kept while reading.
	maxContext = 100_000
)

// Fields are the fields of a log line besides those that all lines have.
type Fields map[string]any

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Message string
	// Daemon wrote the line.
	Daemon mangomodel.DaemonID
	// Server is the backend server that the line is about, if any, and
	// Scheduler who granted it.
	Server    mangomodel.ServerID
	Scheduler mangomodel.DaemonID
	Fields    Fields
}

// Report is what the logs say of a request.
type Report struct {
	Request mangomodel.RequestID
	// Steps are the request's own lines in order of time.
	Steps []Line
	// Context is what changed shortly before and meanwhile: of its servers, of
	// the platform, of the configuration and of other daemons.
	Context []Line
	// Outcome is the last line, if the request has ended.
	Outcome *Line
	// Unreadable counts lines that are no JSON.
	Unreadable int
}

// lineHead are the fields that all lines have, and those that name a request
// or a server.
type lineHead struct {
	Time    time.Time
	Message string
	Daemon  mangomodel.DaemonID
	Request mangomodel.RequestID
	// Server is an id or an entry of the list.
	Server    json.RawMessage
	Scheduler mangomodel.DaemonID
}

// messageEnd is the message of a request's last line.
const messageEnd = "call finished"

// contextMessages are the messages about something else than one request.
var contextMessages = []string{
	"platform lost", "platform regained", "daemon lost", "daemon regained", "scheduler chosen",
	"configuration in force", "configuration not applied", "server listed", "servers listed", "server set aside", "server used again",
	"engine moved", "engine not moved", "draining", "started", "log lines dropped", "settings reloaded",
}

// Read reads logs and returns what they say of a request.
func Read(r io.Reader, id mangomodel.RequestID) (*Report, error) {
	report := &Report{Request: id}
	var around []Line
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line, request, err := parse(lines.Bytes())
		switch {
		case err != nil:
			report.Unreadable++
		case request == id:
			report.Steps = append(report.Steps, line)
		case request == "" && len(around) < maxContext && slices.Contains(contextMessages, line.Message):
			around = append(around, line)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, mangomodel.NewFault(mangomodel.StepParse, "log", mangomodel.CodeInvalid, mangomodel.RunNot, err)
	}
	if len(report.Steps) == 0 {
		return nil, mangomodel.Faultf(mangomodel.StepParse, "log", mangomodel.CodeNotFound, mangomodel.RunNot, "no line names request %s", id)
	}
	sortLines(report.Steps)
	report.Context = related(around, report.Steps)
	if last := &report.Steps[len(report.Steps)-1]; last.Message == messageEnd {
		report.Outcome = last
	}
	return report, nil
}

// parse reads one line. Its request is empty for a line about something else.
func parse(data []byte) (Line, mangomodel.RequestID, error) {
	var head lineHead
	if err := json.Unmarshal(data, &head); err != nil {
		return Line{}, "", err
	}
	line := Line{Time: head.Time, Message: head.Message, Daemon: head.Daemon, Server: serverOf(head.Server), Scheduler: head.Scheduler}
	if err := json.Unmarshal(data, &line.Fields); err != nil {
		return Line{}, "", err
	}
	for _, name := range []string{"Time", "Message", "Level", "Caller", "Request", "Daemon"} {
		delete(line.Fields, name)
	}
	return line, head.Request, nil
}

// serverOf returns the id of a field that is either an id or an entry of the
// list of servers.
func serverOf(raw json.RawMessage) mangomodel.ServerID {
	var id mangomodel.ServerID
	if json.Unmarshal(raw, &id) == nil {
		return id
	}
	var entry struct{ ID mangomodel.ServerID }
	if json.Unmarshal(raw, &entry) == nil {
		return entry.ID
	}
	return ""
}

func sortLines(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// related returns the lines of the daemons that had a request or granted its
// servers, about those servers or about no server, from shortly before its
// first line to its last one.
func related(around, steps []Line) []Line {
	from, to := steps[0].Time.Add(-contextTime), steps[len(steps)-1].Time
	servers, daemons := make(map[mangomodel.ServerID]bool), make(map[mangomodel.DaemonID]bool)
	for _, s := range steps {
		servers[s.Server] = true
		daemons[s.Daemon], daemons[s.Scheduler] = true, true
	}
	var list []Line
	for _, line := range around {
		if line.Time.Before(from) || line.Time.After(to) || !daemons[line.Daemon] || line.Server != "" && !servers[line.Server] {
			continue
		}
		list = append(list, line)
	}
	sortLines(list)
	return list
}
