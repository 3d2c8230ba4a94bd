// Package mangoload sends generation requests at given rates and reports the
// results: goodput by rank, latencies, refusals and wrong responses.
//
// Arrivals are a Poisson process with a fixed seed, so that a plan is
// reproducible. Each token of a response is compared with the one that the
// emulated engines generate for its prompt and offset.
//
// # Usage
//
//	outcomes := mangoload.Send(ctx, plan)
//	summaries := mangoload.Summarise(outcomes, targets)
package mangoload
