// Package mangostore stands in for the platform: its transactional table
// service, its object store and its lagging list of hosts.
//
// A [Store] keeps everything in memory. Its faults are those that the
// platform shows: outages, slowness and answers that are lost after their
// writes have taken effect.
//
// # Usage
//
//	s := mangostore.New(mangostore.WithLatency(2 * time.Millisecond))
//	go s.Run(ctx)
//	version, err := s.Put(ctx, key, value, 0)
//	row, err := s.Get(ctx, key)
//	s.Inject(ctx, mangostore.Faults{Outage: true})
package mangostore
