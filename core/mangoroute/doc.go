// Package mangoroute serves one generation request from admission to its last
// token. It runs on traffic goroutines.
//
// A [Generator] acquires a grant from the scheduler of a shard, has the prompt
// prefilled, has the KV cache moved to the decode server and delivers the
// generated tokens to a [Sink]. At the end of every attempt it releases the
// grant; after a failed one it also cancels the sequence on the engines.
//
// Invariants:
//
//   - Tokens reach the sink in order and once each: a chunk is delivered only
//     if it carries the request, the attempt and the next offset.
//   - A fault with RunNot is returned only if no engine received a request.
//   - A retry continues after the last token that was delivered.
//   - All tokens of a response come from engines of one build.
//
// # Usage
//
//	g := mangoroute.New(control, schedulers, engines, mangoroute.WithTracer(t))
//	err := g.Generate(ctx, request, sink)
package mangoroute
