// Package mangoshard makes the scheduling decisions of one shard: which demands
// are admitted, in which order they are served and on which servers they run.
//
// A [Shard] predicts whether a demand can meet its latency target before it
// queues, shares decode slots between the ranks, and chooses the pair of
// servers with the earliest predicted first token among those that meet the
// TPOT targets of all their requests. It counts the grants that its owner,
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
