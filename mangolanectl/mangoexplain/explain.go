// Package mangoexplain traces one request through the logs of daemons.
//
// The logs of several daemons may be concatenated in any order. Lines that are
// not JSON are counted and skipped.
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
	// maxLine bounds a log line, in bytes; the longest lines hold a cause of some
	// hundred bytes.
	maxLine = 1 << 20
	// contextTime is the time before a request's first line from which events of
	// its servers, its daemons and the platform belong to its context.
	contextTime = 5 * time.Second
	// maxContext bounds the number of context lines that are kept while reading.
	maxContext = 100_000
)

// Fields are the fields of a log line, without its Time, Message, Level, Caller,
// Request and Daemon.
type Fields map[string]any

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Message string
	// Daemon is the daemon that wrote the line.
	Daemon mangomodel.DaemonID
	// Server is the backend server that the line is about, if any, and
	// Scheduler the daemon that granted the server.
	Server    mangomodel.ServerID
	Scheduler mangomodel.DaemonID
	Fields    Fields
}

// Report holds the log lines that concern a request.
type Report struct {
	Request mangomodel.RequestID
	// Steps are the request's own lines, ordered by time.
	Steps []Line
	// Context are the changes shortly before and during the request: of its
	// servers, the platform, the configuration and other daemons. The lines are
	// ordered by time.
	Context []Line
	// Outcome is the request's last line, or nil if the request has not ended.
	Outcome *Line
	// Unreadable is the number of lines that are not JSON.
	Unreadable int
}

// lineHead holds the fields that all lines have, and those that identify a
// request, a server or a scheduler.
type lineHead struct {
	Time    time.Time
	Message string
	Daemon  mangomodel.DaemonID
	Request mangomodel.RequestID
	// Server is a server id or an entry of the server list.
	Server    json.RawMessage
	Scheduler mangomodel.DaemonID
}

// finalMessage is the message of a request's last line.
const finalMessage = "call finished"

// contextMessages are the messages that belong to the context of other requests too.
// What a server announced in the answer to one request holds for those that follow.
var contextMessages = []string{
	"platform lost", "platform regained", "daemon lost", "daemon regained", "scheduler chosen",
	"configuration in force", "configuration not applied", "configuration entry left out", "server listed", "servers listed", "server set aside", "server used again",
	"server withdrawn", "server asked for time", "server asked for an invalid time", "part quarantined", "part released",
	"service has several builds", "service has one build", "origins lost", "origins regained",
	"engine moved", "engine not moved", "draining", "started", "log lines dropped", "settings reloaded",
}

// Read reads logs and returns the report of a request. It fails with CodeNotFound
// if no line has the request id.
func Read(r io.Reader, id mangomodel.RequestID) (*Report, error) {
	report := &Report{Request: id}
	var candidates []Line
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line, request, err := parse(lines.Bytes())
		switch {
		case err != nil:
			report.Unreadable++
		case request == id:
			report.Steps = append(report.Steps, line)
		case len(candidates) < maxContext && slices.Contains(contextMessages, line.Message):
			candidates = append(candidates, line)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, mangomodel.NewFault(mangomodel.StepParse, "log", mangomodel.CodeInvalid, mangomodel.RunNot, err)
	}
	if len(report.Steps) == 0 {
		return nil, mangomodel.Faultf(mangomodel.StepParse, "log", mangomodel.CodeNotFound, mangomodel.RunNot, "no log line has request id %s", id)
	}
	sortLines(report.Steps)
	report.Context = related(candidates, report.Steps)
	if last := &report.Steps[len(report.Steps)-1]; last.Message == finalMessage {
		report.Outcome = last
	}
	return report, nil
}

// parse decodes one line. The returned request id is empty if the line concerns
// no single request.
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

// serverOf returns the server id of a field that holds either the id or an entry
// of the server list.
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

// related returns the context lines of a request, ordered by time. These are
// written by a daemon that handled the request or granted its servers, concern
// one of these servers or no server, and lie between contextTime before the first
// step and the last step.
func related(candidates, steps []Line) []Line {
	from, to := steps[0].Time.Add(-contextTime), steps[len(steps)-1].Time
	servers, daemons := make(map[mangomodel.ServerID]bool), make(map[mangomodel.DaemonID]bool)
	for _, s := range steps {
		servers[s.Server] = true
		daemons[s.Daemon], daemons[s.Scheduler] = true, true
	}
	var list []Line
	for _, line := range candidates {
		if line.Time.Before(from) || line.Time.After(to) || !daemons[line.Daemon] || line.Server != "" && !servers[line.Server] {
			continue
		}
		list = append(list, line)
	}
	sortLines(list)
	return list
}
