// Package mangoentry runs non-idempotent application calls at most once, and
// idempotent ones with retries.
//
// A non-idempotent call is an entry. Its row in the platform's table service
// is written, if absent, before the call leaves, and again with the outcome
// after it. The row's key is the workspace and the idempotency key, which is
// the same in every resend of the operation; the attempt that reserved the
// row is named by a token that is unique to one call of [Ledger.Reserve].
//
// Invariants:
//
//   - A call leaves only after this process has seen that the row holds its
//     own token.
//   - Of one reservation at most one message leaves, over a connection of its
//     own, so that no transport replays it.
//   - A reservation is never taken over. Only its own process may write it
//     off as abandoned, and only when it has not sent and never will.
//   - A fault with RunNot is returned only for calls that have not left.
//
// # Usage
//
//	ledger := mangoentry.NewLedger(table, holder)
//	caller := mangoentry.NewCaller(control, ledger, services)
//	response, err := caller.Call(ctx, request)
//
// The key plays the part of the operation identifier, and the token that of
// the message number, in Narasimhan, Moser and Melliar-Smith, "Consistency of
// Partitionable Object Groups in a CORBA Framework".
package mangoentry

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=State -text -output=state_string.go
