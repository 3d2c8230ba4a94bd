// Package mangoload sends generation requests at given rates and reports what
// was served: goodput by rank, latencies, refusals and wrong answers.
//
// Arrivals are a Poisson process of a seed, so that a plan can be repeated.
// Every answer is checked against the token that the emulated engines give
// for its prompt and offset.
//
// # Usage
//
//	outcomes, err := mangoload.Send(ctx, plan)
//	summary := mangoload.Summarise(plan, outcomes)
package mangoload
