// Package mangoconfig defines the configuration documents of mangolane and the
// immutable catalog that results from a sequence of accepted changes.
//
// Operators write four kinds of document: templates, workspaces based on
// templates, hosts and pools. A [Change] proposes a new version of one
// document, or its removal. A [Catalog] is the value of all documents at one
// revision; applying a change to a catalog returns the catalog of the next
// revision and does not modify the old one.
//
// # Usage
//
//	change, err := mangoconfig.Decode[mangoconfig.Change](data)
//	next, err := catalog.Apply(change)
//	ws, ok := next.Workspace("audit")
//
// The package does no I/O. Package mangorevision writes changes to the
// platform's table service.
package mangoconfig
