// Package mangoengine emulates a model engine: continuous batching, a prefix
// cache in limited memory, ranks, streams that can be resumed and cancelled,
// and the export and import of KV caches.
//
// An [Engine] behaves in time like an engine but computes nothing: the token
// at an offset of an answer is a hash of the prompt and the offset, so that a
// test can tell whether an answer is whole and whose it is. It runs over the
// runtime's clock, so it works in a synctest bubble as well as behind HTTP.
//
// # Usage
//
//	e := mangoengine.New("d1", mangoengine.DefaultProfile())
//	go e.Run(ctx)
//	err := e.Prefill(ctx, prefill)
//	err = other.Import(ctx, seq, e)
//	stream, err := other.Decode(ctx, decode)
//
// Faults are switched with [Engine.Inject]; see [Faults].
package mangoengine
