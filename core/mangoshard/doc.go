// Package mangoshard makes the scheduling decisions of one shard: which demands
// are admitted, in which order they are served and on which servers they run.
//
// A [Shard] predicts whether a demand can meet its latency target before it
// queues, shares decode slots between the ranks, and chooses a prefill and a
// decode server for each demand. A decode server is suitable only if it meets
// the TPOT targets of all its requests. A shard counts the grants that its owner,
// package mangosched, adds and removes, and keeps no grants itself.
//
// # Usage
//
//	sh := mangoshard.New(id)
//	w := &mangoshard.Waiter{Demand: d, ArrivedAt: now}
//	if err := sh.Admit(now, w); err != nil { ... }
//	sh.Queue[d.Rank].Push(w)
//	if w, place := sh.Next(now); w != nil { ... }
package mangoshard
