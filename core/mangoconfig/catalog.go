package mangoconfig

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"mangolane/core/mangomodel"
)

// Versioned is a document with the revision of its last change.
type Versioned[V any] struct {
	Value    V
	Revision mangomodel.Revision
	// Change is the ID of the change accepted at that revision.
	Change mangomodel.ChangeID
}

// Catalog is the immutable value of all documents at one revision. The zero
// Catalog is empty, at revision 0.
type Catalog struct {
	revision   mangomodel.Revision
	templates  map[mangomodel.TemplateID]Versioned[Template]
	workspaces map[mangomodel.WorkspaceID]Versioned[Workspace]
	hosts      map[mangomodel.HostID]Versioned[Host]
	pools      map[mangomodel.ModelID]Versioned[Pool]
	// effective caches the settings of each workspace merged with those of its
	// template.
	effective map[mangomodel.WorkspaceID]EffectiveWorkspace
	derived   derived
}

// Revision returns the number of the last change applied.
func (c *Catalog) Revision() mangomodel.Revision { return c.revision }

// Workspace returns the effective parameters of a workspace.
func (c *Catalog) Workspace(id mangomodel.WorkspaceID) (EffectiveWorkspace, bool) {
	e, ok := c.effective[id]
	return e, ok
}

// Pool returns the scheduling parameters of a model's pool, or the defaults if
// it has no document.
func (c *Catalog) Pool(model mangomodel.ModelID) Pool {
	p, ok := c.pools[model]
	if !ok {
		return DefaultPool(model)
	}
	if p.Value.ShardServers == 0 {
		p.Value.ShardServers = defaultShardServers
	}
	return p.Value
}

// Host returns the document of a host.
func (c *Catalog) Host(id mangomodel.HostID) (Host, bool) {
	h, ok := c.hosts[id]
	return h.Value, ok
}

// Accepted returns the revision at which a change was accepted, if it set the
// current value of its document.
func (c *Catalog) Accepted(change Change) (mangomodel.Revision, bool) {
	id, rev := mangomodel.ChangeID(""), mangomodel.Revision(0)
	switch {
	case change.Template != nil:
		v := c.templates[change.Template.ID]
		id, rev = v.Change, v.Revision
	case change.Workspace != nil:
		v := c.workspaces[change.Workspace.ID]
		id, rev = v.Change, v.Revision
	case change.Host != nil:
		v := c.hosts[change.Host.ID]
		id, rev = v.Change, v.Revision
	case change.Pool != nil:
		v := c.pools[change.Pool.Model]
		id, rev = v.Change, v.Revision
	}
	return rev, rev > 0 && id == change.ID
}

// Documents is the serialisable content of a catalog.
type Documents struct {
	Revision   mangomodel.Revision
	Templates  []Versioned[Template]
	Workspaces []Versioned[Workspace]
	Hosts      []Versioned[Host]
	Pools      []Versioned[Pool]
}

// Documents returns all documents, each kind sorted by ID.
func (c *Catalog) Documents() Documents {
	return Documents{
		Revision:   c.revision,
		Templates:  sortedValues(c.templates),
		Workspaces: sortedValues(c.workspaces),
		Hosts:      sortedValues(c.hosts),
		Pools:      sortedValues(c.pools),
	}
}

// FromDocuments rebuilds a catalog. It fails with CodeInvalid if the documents
// are not consistent.
func FromDocuments(d Documents) (*Catalog, error) {
	c := (&Catalog{}).clone()
	c.revision = d.Revision
	for _, t := range d.Templates {
		c.templates[t.Value.ID] = t
	}
	for _, w := range d.Workspaces {
		c.workspaces[w.Value.ID] = w
	}
	for _, h := range d.Hosts {
		c.hosts[h.Value.ID] = h
	}
	for _, p := range d.Pools {
		c.pools[p.Value.Model] = p
	}
	if err := c.recompute(); err != nil {
		return nil, err
	}
	return c, nil
}

// Apply returns the catalog of the next revision; c is not modified. It fails
// with CodeConflict if the change expects another revision of its document, and
// with CodeInvalid if the result would not be valid.
func (c *Catalog) Apply(change Change) (*Catalog, error) {
	if err := checkOneDocument(change); err != nil {
		return nil, err
	}
	next := c.clone()
	next.revision++
	if err := next.put(change); err != nil {
		return nil, err
	}
	if err := next.recompute(); err != nil {
		return nil, err
	}
	return next, nil
}

func (c *Catalog) put(change Change) error {
	switch {
	case change.Template != nil:
		if err := checkCalls(string(change.Template.ID), change.Template.Settings.Calls); err != nil {
			return err
		}
		return putDocument(c.templates, change.Template.ID, *change.Template, change, c.revision)
	case change.Workspace != nil:
		return putDocument(c.workspaces, change.Workspace.ID, *change.Workspace, change, c.revision)
	case change.Host != nil:
		if err := checkHost(*change.Host); err != nil {
			return err
		}
		return putDocument(c.hosts, change.Host.ID, *change.Host, change, c.revision)
	default:
		if err := checkPool(*change.Pool); err != nil {
			return err
		}
		return putDocument(c.pools, change.Pool.Model, *change.Pool, change, c.revision)
	}
}

// recompute recomputes the data derived from the documents. It fails if a
// workspace is not valid.
func (c *Catalog) recompute() error {
	c.derive()
	for id, w := range c.workspaces {
		t, ok := c.templates[w.Value.Template]
		if !ok {
			return invalid("workspace %q: template %q does not exist", id, w.Value.Template)
		}
		e, err := overlay(t.Value, w.Value)
		if err != nil {
			return err
		}
		c.effective[id] = e
	}
	return nil
}

func (c *Catalog) clone() *Catalog {
	return &Catalog{
		revision:   c.revision,
		templates:  cloneMap(c.templates),
		workspaces: cloneMap(c.workspaces),
		hosts:      cloneMap(c.hosts),
		pools:      cloneMap(c.pools),
		effective:  make(map[mangomodel.WorkspaceID]EffectiveWorkspace, len(c.workspaces)+1),
	}
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

func putDocument[K ~string, V any](m map[K]Versioned[V], id K, v V, change Change, r mangomodel.Revision) error {
	if id == "" {
		return invalid("document has no id")
	}
	if current := m[id].Revision; current != change.Expect {
		return mangomodel.Faultf(mangomodel.StepConfigure, mangomodel.PeerName(id),
			mangomodel.CodeConflict, mangomodel.RunNot,
			"expected revision %d, the document is at %d", change.Expect, current)
	}
	if change.Remove {
		delete(m, id)
		return nil
	}
	m[id] = Versioned[V]{Value: v, Revision: r, Change: change.ID}
	return nil
}

func sortedValues[K cmp.Ordered, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[k])
	}
	return values
}

func checkOneDocument(change Change) error {
	n := 0
	for _, present := range []bool{change.Template != nil, change.Workspace != nil, change.Host != nil, change.Pool != nil} {
		if present {
			n++
		}
	}
	if n != 1 {
		return invalid("a change must hold exactly one document, got %s", fmt.Sprint(n))
	}
	return nil
}
