// Package mangocheck finds what is wrong in a configuration before it is sent: entries
// that are not used, entries that can never match, and limits that contradict each other.
// [Compare] finds what differs between two configurations.
//
// It is designed for a document of some hundred routes and 260 workspaces with some keys
// each, checked once per change. No result shows a key, only the first digits of its digest.
//
// # Usage
//
//	findings := mangocheck.Check(document, problems, mangocheck.WithGracePeriod(8*time.Second))
//	differences := mangocheck.Compare(before, document)
package mangocheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangoquota"
	"mangolane/core/mangoshutdown"
	"mangolane/core/mangotraffic"
	"mangolane/core/mangoworkspace"
)

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Severity -trimprefix=Severity -text -output=severity_string.go

// Severity tells whether a daemon uses an entry.
type Severity int

const (
	// SeverityWarning is an entry that is used but has no effect, or hardly the intended one.
	SeverityWarning Severity = iota
	// SeverityError is an entry that is left out, or that invalidates the whole document.
	SeverityError
)

// Subject is the part of a configuration that a result is about, such as route "chat".
type Subject string

// SubjectDocument is the configuration as a whole.
const SubjectDocument Subject = "document"

func subject(kind, name string) Subject { return Subject(kind + " " + strconv.Quote(name)) }

// Field is the name of an entry in this module. The platform has names of its own.
type Field string

// The fields that results name.
const (
	FieldPrefix        Field = "Prefix"
	FieldTargets       Field = "Targets"
	FieldWeight        Field = "Weight"
	FieldTimeout       Field = "Timeout"
	FieldTargetLatency Field = "TargetLatency"
	FieldIdleTimeout   Field = "IdleTimeout"
	FieldKeys          Field = "Keys"
	FieldBurst         Field = "Burst"
)

// Finding is an entry that should be changed.
type Finding struct {
	Severity Severity
	Subject  Subject
	Field    Field
	// Value is the value found, unless that is secret, and Want what was expected.
	Value, Want string
}

// Option configures a check.
type Option func(*checker)

// WithGracePeriod sets the time from SIGTERM to the end of the process. Timeouts are then
// compared with the time that a stop leaves to calls.
func WithGracePeriod(d time.Duration) Option {
	return func(c *checker) { c.grace = d }
}

// checker collects the findings of a document.
type checker struct {
	doc      *mangotraffic.Document
	grace    time.Duration
	findings []Finding
}

// Check returns the findings of a document in its order. The problems are the entries that
// were left out when it was read.
func Check(doc *mangotraffic.Document, problems []mangoworkspace.Problem, opts ...Option) []Finding {
	c := &checker{doc: doc}
	for _, opt := range opts {
		opt(c)
	}
	directory, own := mangoworkspace.NewDirectory(doc.Workspaces)
	for _, p := range problems {
		// The check of the workspaces reports these with the digest of the key.
		if slices.Contains(own, p) {
			continue
		}
		s := SubjectDocument
		if p.Workspace != "" {
			s = subject("workspace", string(p.Workspace))
		}
		c.add(SeverityError, s, Field(p.Field), p.Value, p.Want)
	}
	c.checkRoutes()
	c.checkWorkspaces(directory)
	if l := doc.Limits; l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		c.add(SeverityWarning, SubjectDocument, FieldIdleTimeout, l.IdleTimeout.String(),
			fmt.Sprintf("at least the header timeout of %v", l.HeaderTimeout))
	}
	// Guards against a rule of the daemons that has no finding of its own.
	_, err := doc.Routing()
	if isError := func(f Finding) bool { return f.Severity == SeverityError }; err != nil && !slices.ContainsFunc(c.findings, isError) {
		c.add(SeverityError, SubjectDocument, "", err.Error(), "a valid configuration")
	}
	return c.findings
}

func (c *checker) add(severity Severity, s Subject, field Field, value, want string) {
	c.findings = append(c.findings, Finding{severity, s, field, value, want})
}

func (c *checker) checkRoutes() {
	type place struct {
		host   mangotraffic.HostName
		prefix mangotraffic.PathPrefix
	}
	first := make(map[place]mangotraffic.RouteName)
	for i := range c.doc.Routes {
		r := &c.doc.Routes[i]
		s := subject("route", string(r.Name))
		prefix := string(r.Prefix)
		if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
			c.add(SeverityError, s, FieldPrefix, strconv.Quote(prefix), "a text that begins and ends with a slash")
		}
		if other, ok := first[place{r.Host, r.Prefix}]; ok {
			c.add(SeverityWarning, s, FieldPrefix, fmt.Sprintf("%q of host %q, which route %q has before it", prefix, r.Host, other),
				"a host and prefix of its own: the route never matches")
		} else {
			first[place{r.Host, r.Prefix}] = r.Name
		}
		c.checkTargets(s, r)
		c.checkTimes(s, r)
	}
}

func (c *checker) checkTargets(s Subject, r *mangotraffic.Route) {
	if len(r.Targets) == 0 {
		c.add(SeverityError, s, FieldTargets, "empty", "at least one service")
	}
	weighted := slices.ContainsFunc(r.Targets, func(t mangotraffic.Target) bool { return t.Weight > 0 })
	for i, t := range r.Targets {
		if !slices.ContainsFunc(c.doc.Services, func(s mangotraffic.Service) bool { return s.Name == t.Service }) {
			c.add(SeverityError, s, FieldTargets, strconv.Quote(string(t.Service)), "a configured service")
		}
		// Without any weight the first target gets all calls.
		if t.Weight <= 0 && (weighted || i > 0) {
			c.add(SeverityWarning, s, FieldWeight, fmt.Sprintf("%d of service %q", t.Weight, t.Service), "more than 0: the target gets no calls")
		}
	}
}

func (c *checker) checkTimes(s Subject, r *mangotraffic.Route) {
	if r.Timeout > 0 && r.TargetLatency > r.Timeout {
		c.add(SeverityWarning, s, FieldTargetLatency, r.TargetLatency.String(), fmt.Sprintf("at most the timeout of %v", r.Timeout))
	}
	if c.grace <= 0 {
		return
	}
	plan := mangoshutdown.New(time.Time{}, c.grace)
	if left := plan.Answer().Sub(plan.Began()); r.Timeout == 0 || r.Timeout > left {
		value := r.Timeout.String()
		if r.Timeout == 0 {
			value = "none"
		}
		c.add(SeverityWarning, s, FieldTimeout, value, fmt.Sprintf("at most %v, which a stop within %v leaves to a call", left, c.grace))
	}
}

func (c *checker) checkWorkspaces(directory *mangoworkspace.Directory) {
	for _, w := range directory.All() {
		s := subject("workspace", string(w.ID))
		usable := 0
		for _, key := range w.Keys {
			if _, ok := directory.ByKey(key); ok {
				usable++
				continue
			}
			c.add(SeverityError, s, FieldKeys, key.String()+", also a key of "+owners(directory, key, w.ID), "a key of one workspace: it identifies nobody")
		}
		if usable == 0 {
			c.add(SeverityWarning, s, FieldKeys, "none usable", "a key that identifies it: no call belongs to it")
		}
		if cost := mangoquota.CostOf(w.Limit, nil); w.Limit.Bounded() && w.Limit.Burst < cost {
			c.add(SeverityWarning, s, FieldBurst, amount(w.Limit.Burst), fmt.Sprintf("at least %s, the cost of a plain call: none can run", amount(cost)))
		}
	}
}

// owners names the workspaces besides one that have a key.
func owners(directory *mangoworkspace.Directory, key mangoworkspace.Digest, id mangomodel.WorkspaceID) string {
	var list []string
	for _, w := range directory.All() {
		if w.ID != id && slices.ContainsFunc(w.Keys, key.Matches) {
			list = append(list, string(subject("workspace", string(w.ID))))
		}
	}
	return strings.Join(list, ", ")
}

func amount(n mangoworkspace.Amount) string { return strconv.FormatFloat(float64(n), 'g', -1, 64) }
