package mangowire

import (
	"mangolane/core/mangomodel"
)

// Paths of the platform's services.
const (
	PathTable   = "/table"
	PathObjects = "/objects"
	PathHosts   = "/hosts"
)

// PutRow requests that the table service write a row if its version is Expect.
type PutRow struct {
	Key    mangomodel.TableKey
	Value  []byte
	Expect mangomodel.RowVersion
}

// RowWritten is the response to a PutRow.
type RowWritten struct{ Version mangomodel.RowVersion }

// HostEntry is one line of the platform's host list.
type HostEntry struct {
	Host  mangomodel.HostID
	State mangomodel.ServerState
}

// HostList is the platform's host list.
type HostList struct{ Hosts []HostEntry }

// Object is an object of the platform's object store.
type Object struct {
	Name string
	Data []byte
}
