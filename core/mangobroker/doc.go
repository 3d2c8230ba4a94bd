// Package mangobroker acquires servers for calls and exchanges state with the
// other daemons.
//
// Plain calls are placed by the daemon that received them. The slots and memory
// of a service's model engines are granted by one daemon at a time, its
// scheduler: the first in an order that every daemon computes from the live
// members. A scheduler that does not respond is skipped for 1 s. Two schedulers
// at a time are harmless, since engines enforce their limits; each receives the
// leases that it has not granted itself with the renewals.
//
// Renewals also carry the state that daemons need from each other while the
// platform is unreachable: the live members, the newest configuration, the list
// of servers, and the calls and parts of prompts that crash servers.
//
// # Usage
//
//	b := mangobroker.New(self, fleet, peers, mangobroker.WithSeeds(seeds))
//	go b.Run(ctx)
//	grant, err := b.Acquire(ctx, demand)
//	defer grant.Release()
package mangobroker
