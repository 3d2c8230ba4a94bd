package mangocheck

import (
	"fmt"
	"slices"
	"strconv"

	"mangolane/core/mangotraffic"
	"mangolane/core/mangoworkspace"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Change -trimprefix=Change -text -output=change_string.go

// Change is how an entry differs from its earlier version.
type Change int

const (
	// ChangeAdded entries are new.
	ChangeAdded Change = iota
	// ChangeRemoved entries are gone.
	ChangeRemoved
	// ChangeChanged entries have another value.
	ChangeChanged
)

// Difference is one entry that differs between two documents. Field is empty if the whole
// subject was added or removed; a key is added or removed by itself.
type Difference struct {
	Subject       Subject
	Change        Change
	Field         Field
	Before, After string
}

// entry is one field of a part with its value as text. An entry of a set has the same field
// as the others of the set and differs in its value.
type entry struct {
	field Field
	value string
	set   bool
}

// part is a workspace, a route or a service.
type part struct {
	subject Subject
	entries []entry
}

// Compare returns what differs between two documents, workspace by workspace, route by
// route and service by service. The order of routes is not compared.
func Compare(before, after *mangotraffic.Document) []Difference {
	return compareParts(parts(before), parts(after))
}

func compareParts(before, after []part) []Difference {
	var list []Difference
	old := make(map[Subject][]entry)
	for _, p := range before {
		old[p.subject] = p.entries
	}
	kept := make(map[Subject]bool)
	for _, p := range after {
		entries, ok := old[p.subject]
		if !ok {
			list = append(list, Difference{Subject: p.subject, Change: ChangeAdded})
		}
		kept[p.subject] = true
		list = append(list, compareEntries(p.subject, entries, p.entries)...)
	}
	for _, p := range before {
		if !kept[p.subject] {
			list = append(list, Difference{Subject: p.subject, Change: ChangeRemoved})
		}
	}
	return list
}

func compareEntries(s Subject, before, after []entry) []Difference {
	var list []Difference
	for _, e := range after {
		i := slices.IndexFunc(before, func(o entry) bool { return o.field == e.field && (!e.set || o == e) })
		switch {
		case i < 0:
			list = append(list, Difference{s, ChangeAdded, e.field, "", e.value})
		case before[i] != e:
			list = append(list, Difference{s, ChangeChanged, e.field, before[i].value, e.value})
		}
	}
	for _, e := range before {
		if e.set && !slices.Contains(after, e) {
			list = append(list, Difference{s, ChangeRemoved, e.field, e.value, ""})
		}
	}
	return list
}

// parts returns the parts of a document. Of several parts with one name the later ones have
// a number, so that each is compared with its own earlier version.
func parts(d *mangotraffic.Document) []part {
	list := []part{{SubjectDocument, []entry{
		value("Restricted", d.Restricted), value("HeaderBytes", d.Limits.HeaderBytes), value("BodyBytes", d.Limits.BodyBytes),
		value("HeaderTimeout", d.Limits.HeaderTimeout), value(FieldIdleTimeout, d.Limits.IdleTimeout),
	}}}
	for _, w := range d.Workspaces {
		list = append(list, part{subject("workspace", string(w.ID)), workspaceEntries(&w)})
	}
	for _, r := range d.Routes {
		list = append(list, part{subject("route", string(r.Name)), []entry{
			value("Host", r.Host), value(FieldPrefix, r.Prefix), value("Kind", r.Kind), value(FieldTimeout, r.Timeout),
			value(FieldTargetLatency, r.TargetLatency), value("MaxPause", r.MaxPause), value("Priority", r.Priority),
			value(FieldTargets, r.Targets), value("MaxAttempts", r.MaxAttempts), value("Resumable", r.Resumable), value("Public", r.Public),
		}})
	}
	for _, s := range d.Services {
		e := mangotraffic.Engine{}
		if s.Engine != nil {
			e = *s.Engine
		}
		list = append(list, part{subject("service", string(s.Name)), []entry{
			value("Engine", s.Engine != nil), value("Slots", e.Slots), value("KVTokens", e.KVTokens),
			value("TokensPerEvent", e.TokensPerEvent), value("HandleLifetime", e.HandleLifetime),
		}})
	}
	seen := make(map[Subject]int)
	for i, p := range list {
		if seen[p.subject]++; seen[p.subject] > 1 {
			list[i].subject = Subject(fmt.Sprintf("%s #%d", p.subject, seen[p.subject]))
		}
	}
	return list
}

func workspaceEntries(w *mangoworkspace.Workspace) []entry {
	priority := "that of the route"
	if w.HasPriority {
		priority = strconv.Itoa(w.Priority)
	}
	entries := []entry{
		value("Priority", priority), value("Unit", w.Limit.Unit), value("Rate", amount(w.Limit.Rate)),
		value(FieldBurst, amount(w.Limit.Burst)), value("PlainTokens", w.Limit.PlainTokens),
	}
	for _, key := range w.Keys {
		entries = append(entries, entry{FieldKeys, key.String(), true})
	}
	return entries
}

func value(f Field, v any) entry { return entry{field: f, value: fmt.Sprint(v)} }
