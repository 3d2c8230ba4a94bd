// Package mangoworker emulates the users' backend servers: model engines and
// plain services behind the published protocol. Servers share a [Recorder] of the
// requests that they ran, which tests compare with the responses that callers
// received.
//
// The request's id and body determine the response, so that any caller can check
// that a response is complete and belongs to its request: see [ExpectedBody] and
// [ExpectedStream]. Each event of a stream names the build of the server that wrote it:
// see [ParseEvents] and [Worker.SetBuild]. A request may ask for the length and the speed
// of its stream: see [Pace].
//
// A server can be given faults, which can be combined: see [Faults], [Worker.Silence], [Worker.Freeze],
// [Worker.AnnounceLeaving] and [Worker.RefuseFor].
//
// # Usage
//
//	w := mangoworker.New(mangoworker.Profile{ID: "d-1", Service: "llm", Stage: "decode", Slots: 8}, recorder)
//	err := w.Start("127.0.0.1:0")
//	store.Put("servers", "d-1", w.Entry("ready", w.Address()))
//	w.Crash()
package mangoworker
