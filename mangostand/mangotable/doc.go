// Package mangotable emulates the users' platform store in memory: tables of rows
// behind the published protocol.
//
// In the real platform, the operator and the backend servers write rows. Here
// the user of the stand-in writes them with [Store.Put] or with a PUT of a row's
// value to /stand/rows?table=TABLE&key=KEY, and removes them with [Store.Remove]
// or a DELETE of that path.
//
// A store can come back from an older copy, with [Store.Copy] and [Store.Restore] or with
// a POST to /stand/copy and then to /stand/restore?away=1s.
//
// # Usage
//
//	s := mangotable.New()
//	go http.ListenAndServe("127.0.0.1:7900", s)
//	err := s.Put("op", "config", configuration)
//	s.SetOutage(mangotable.OutageBusy)
package mangotable

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Outage -trimprefix=Outage -output=outage_string.go
