// Package mangoentry runs non-idempotent application calls at most once, and
// idempotent ones with retries.
//
// A non-idempotent call is an entry. Its row in the platform's table service
// is written, if absent, before the call is sent, and again with the outcome
// afterwards. The row's key is the workspace and the idempotency key, which is
// the same in every resend of the operation; a token that is unique to one call
// of [Ledger.Reserve] identifies the attempt that reserved the row.
//
// Invariants:
//
//   - A call is sent only after this process has verified that the row holds
//     its own token.
//   - At most one message is sent per reservation, over a connection of its
//     own, so that no transport replays it.
//   - A reservation is never taken over. Only its own process may mark it as
//     abandoned, and only if it has not sent the call and never will.
//   - A fault with RunNot is returned only for calls that were not sent.
//
// # Usage
//
//	ledger := mangoentry.NewLedger(table, holder)
//	caller := mangoentry.NewCaller(control, ledger, services, tracer, background)
//	response, err := caller.Call(ctx, request)
//
// The key corresponds to the operation identifier, and the token to the message
// number, in Narasimhan, Moser and Melliar-Smith, "Consistency of Partitionable
// Object Groups in a CORBA Framework".
package mangoentry

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=State -text -output=state_string.go
