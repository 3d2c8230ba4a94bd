// Package mangoconfig holds the configuration documents of mangolane and the
// immutable catalog that a sequence of accepted changes adds up to.
//
// Operators write four kinds of document: templates, workspaces that are made
// from templates, hosts that join or leave, and pools. A [Change] proposes a
// new version of one document, or its removal. A [Catalog] is the value of
// all documents at one revision; applying a change to a catalog gives the
// catalog of the next revision and leaves the old one as it was.
//
// # Usage
//
//	change, err := mangoconfig.Decode[mangoconfig.Change](data)
//	next, err := catalog.Apply(change)
//	ws, ok := next.Workspace("audit")
//
// The package does no I/O. Writing a change to the platform's table service
// is the work of package mangorevision.
package mangoconfig
