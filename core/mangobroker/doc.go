// Package mangobroker finds servers for calls and keeps daemons in touch.
//
// Plain calls are placed by the daemon that has them. The slots and memory of
// a service's model engines are granted by one daemon at a time, its scheduler:
// the first of an order that all daemons work out from who is alive. A
// scheduler that does not answer is passed over for a second. Two schedulers at
// a time are harmless, since engines enforce their limits; each learns from the
// renewals what it has not granted itself.
//
// Renewals also carry what daemons need of each other when the platform cannot
// be reached: who is alive, the newest configuration, the list of servers, and
// which calls broke off.
//
// # Usage
//
//	b := mangobroker.New(self, fleet, peers, mangobroker.WithSeeds(seeds))
//	go b.Run(ctx)
//	grant, err := b.Acquire(ctx, demand)
//	defer grant.Release()
package mangobroker
