package mangorevision

import (
	"context"
	"encoding/json"
	"fmt"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
)

const (
	// SnapshotInterval is the number of revisions between two stored catalogs.
	SnapshotInterval = 64
	// maxChangesPerRead bounds the number of changes that one call of After
	// returns.
	maxChangesPerRead = 256
	// pointerKey is the row that names the newest stored catalog.
	pointerKey mangomodel.TableKey = "Snapshot"
)

// Table is the platform's table service.
type Table interface {
	// Get reads a row; an absent row has version 0.
	Get(ctx context.Context, key mangomodel.TableKey) (mangomodel.Row, error)
	// Put writes a row if its current version is expect. A fault with
	// CodeConflict means that the row has another version; one with RunUnknown
	// means that the row may have been written.
	Put(ctx context.Context, key mangomodel.TableKey, value []byte, expect mangomodel.RowVersion) (mangomodel.RowVersion, error)
}

// ObjectName names an object of the platform's object store.
type ObjectName string

// Objects is the platform's object store.
type Objects interface {
	GetObject(ctx context.Context, name ObjectName) ([]byte, error)
	PutObject(ctx context.Context, name ObjectName, data []byte) error
}

// pointer is the content of the pointer row.
type pointer struct {
	Revision mangomodel.Revision
	Object   ObjectName
}

// Reader reads accepted changes.
type Reader struct {
	table   Table
	objects Objects
}

// NewReader returns a Reader of the changes in table and the catalogs in
// objects.
func NewReader(table Table, objects Objects) *Reader {
	return &Reader{table: table, objects: objects}
}

// After returns accepted changes that follow a revision, in order, at most 256.
// On failure it returns the changes read so far together with the error.
func (r *Reader) After(ctx context.Context, rev mangomodel.Revision) ([]mangoconfig.AcceptedChange, error) {
	var changes []mangoconfig.AcceptedChange
	for len(changes) < maxChangesPerRead {
		next := rev + mangomodel.Revision(len(changes)) + 1
		change, ok, err := readChange(ctx, r.table, next)
		if err != nil || !ok {
			return changes, err
		}
		changes = append(changes, mangoconfig.AcceptedChange{Revision: next, Change: change})
	}
	return changes, nil
}

// Bootstrap returns the current catalog. It applies the changes that were
// accepted after the last stored catalog to that catalog.
func (r *Reader) Bootstrap(ctx context.Context) (*mangoconfig.Catalog, error) {
	catalog, err := r.storedCatalog(ctx)
	if err != nil {
		return nil, err
	}
	for {
		changes, err := r.After(ctx, catalog.Revision())
		if err != nil {
			return nil, err
		}
		if len(changes) == 0 {
			return catalog, nil
		}
		for _, c := range changes {
			if catalog, err = catalog.Apply(c.Change); err != nil {
				return nil, err
			}
		}
	}
}

// storedCatalog returns the last stored catalog, or the empty one. A catalog
// object that cannot be read or decoded only makes the bootstrap slower, because all
// changes are still in the table.
func (r *Reader) storedCatalog(ctx context.Context) (*mangoconfig.Catalog, error) {
	empty := &mangoconfig.Catalog{}
	row, err := r.table.Get(ctx, pointerKey)
	if err != nil {
		return nil, err
	}
	if row.Version == 0 {
		return empty, nil
	}
	var p pointer
	if err := json.Unmarshal(row.Value, &p); err != nil {
		return empty, nil
	}
	data, err := r.objects.GetObject(ctx, p.Object)
	if err != nil {
		return empty, nil
	}
	docs, err := mangoconfig.Decode[mangoconfig.Documents](data)
	if err != nil {
		return empty, nil
	}
	return mangoconfig.FromDocuments(docs)
}

func changeKey(rev mangomodel.Revision) mangomodel.TableKey {
	return mangomodel.TableKey(fmt.Sprintf("Change/%012d", rev))
}

func objectName(rev mangomodel.Revision) ObjectName {
	return ObjectName(fmt.Sprintf("Catalog-%012d", rev))
}

func readChange(ctx context.Context, table Table, rev mangomodel.Revision) (mangoconfig.Change, bool, error) {
	row, err := table.Get(ctx, changeKey(rev))
	if err != nil || row.Version == 0 {
		return mangoconfig.Change{}, false, err
	}
	var change mangoconfig.Change
	if err := json.Unmarshal(row.Value, &change); err != nil {
		return change, false, mangomodel.NewFault(mangomodel.StepConfigure, mangomodel.PeerName(changeKey(rev)),
			mangomodel.CodeInvalid, mangomodel.RunUnknown, err)
	}
	return change, true, nil
}
