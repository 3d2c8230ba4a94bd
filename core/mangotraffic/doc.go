// Package mangotraffic holds the values of the reverse-proxy path: routes,
// services, backend servers and the calls that clients make.
//
// The values are immutable once published, so any goroutine may read them. The
// package neither encodes messages nor decides how a call is handled.
//
// # Usage
//
//	routing, err := mangotraffic.NewRouting(7, routes, services, limits)
//	route, ok := routing.Match("hats.example", "/retire/12")
package mangotraffic

//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Kind -trimprefix=Kind -text -output=kind_string.go
//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=Stage -trimprefix=Stage -text -output=stage_string.go
//go:generate go run github.com/dmarkham/enumer@v1.7.2 -type=State -trimprefix=State -text -output=state_string.go
