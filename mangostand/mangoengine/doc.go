// Package mangoengine emulates a model engine: continuous batching, a prefix
// cache in limited memory, ranks, streams that can be resumed and cancelled,
// and the export and import of KV caches.
//
// An [Engine] reproduces the timing of an engine but computes nothing. The
// token at an offset of a response is a hash of the prompt and the offset, so
// a test can check that a response is complete and belongs to its prompt. The
// engine uses the runtime's clock and therefore works in a synctest bubble as
// well as behind HTTP.
//
// # Usage
//
//	e := mangoengine.New("d1", mangoengine.DefaultProfile())
//	go e.Run(ctx)
//	err := e.Prefill(ctx, prefill)
//	err = other.Import(ctx, seq, e)
//	stream, err := other.Decode(ctx, decode)
//
// [Engine.Inject] sets the active [Faults].
package mangoengine
