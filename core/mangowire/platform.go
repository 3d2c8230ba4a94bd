package mangowire

import (
	"mangolane/core/mangomodel"
)

// Paths of the platform.
const (
	PathTable   = "/table"
	PathObjects = "/objects"
	PathHosts   = "/hosts"
)

// PutRow asks the table service to write a row if its version is Expect.
type PutRow struct {
	Key    mangomodel.TableKey
	Value  []byte
	Expect mangomodel.RowVersion
}

// RowWritten answers a PutRow.
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
