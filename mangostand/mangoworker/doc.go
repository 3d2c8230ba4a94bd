// Package mangoworker stands in for the users' backend servers: model engines
// and plain services behind the published protocol. A [Ledger] that servers
// share records what they ran, so that checks can compare it with what callers
// saw.
//
// An answer follows from the request's id and body, so that any caller can tell
// whether it is whole and its own: see [WholeBody] and [WholeStream].
//
// # Usage
//
//	w := mangoworker.New(mangoworker.Profile{ID: "d-1", Service: "llm", Stage: "decode", Slots: 8}, ledger)
//	err := w.Start("127.0.0.1:0")
//	store.Put("servers", "d-1", w.Entry("ready", w.Address()))
//	w.Crash()
package mangoworker
