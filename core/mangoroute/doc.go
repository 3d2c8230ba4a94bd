// Package mangoroute takes one generation request from admission to its last
// token. It runs on traffic goroutines.
//
// A [Generator] asks the scheduler of a shard for a grant, has the prompt
// prefilled, has the KV cache moved to the decode server and passes the
// generated tokens on. Whatever ends the request, it gives the grant back and
// cancels the request's sequence on the engines.
//
// Invariants:
//
//   - Tokens reach the sink in order and once each: a chunk is passed on only
//     if it carries the request, the attempt and the next offset.
//   - A fault with RunNot is returned only when no engine was asked.
//   - A retry continues behind the last token that was passed on.
//
// # Usage
//
//	g := mangoroute.New(control, schedulers, engines, mangoroute.WithTracer(t))
//	err := g.Generate(ctx, request, sink)
package mangoroute
