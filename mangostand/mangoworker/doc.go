// Package mangoworker stands in for the users' backend servers: model engines
// and plain services behind the published protocol. A [Recorder] that servers
// share records what they ran, so that checks can compare it with what callers
// saw.
//
// An answer follows from the request's id and body, so that any caller can tell
// whether it is whole and its own: see [ExpectedBody] and [ExpectedStream].
//
// # Usage
//
//	w := mangoworker.New(mangoworker.Profile{ID: "d-1", Service: "llm", Stage: "decode", Slots: 8}, recorder)
//	err := w.Start("127.0.0.1:0")
//	store.Put("servers", "d-1", w.Entry("ready", w.Address()))
//	w.Crash()
package mangoworker
