// Package mangostore emulates the platform: its transactional table service,
// its object store and its list of hosts. The list changes only by
// [Store.SetHosts], so it can lag behind the hosts, as the platform's list does.
//
// A [Store] keeps everything in memory. It emulates the faults of the
// platform: outages, delays and responses that are lost after their writes
// of rows have taken effect.
//
// # Usage
//
//	s := mangostore.New(mangostore.WithLatency(2 * time.Millisecond))
//	go s.Run(ctx)
//	version, err := s.Put(ctx, key, value, 0)
//	row, err := s.Get(ctx, key)
//	s.Inject(ctx, mangostore.Faults{Outage: true})
package mangostore
