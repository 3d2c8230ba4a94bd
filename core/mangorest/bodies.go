package mangorest

import (
	"io"
	"net/http"

	"github.com/zeromicro/go-zero/rest"

	"mangolane/core/mangomemory"
	"mangolane/core/mangomodel"
)

// bodyCost is the memory that a byte of a body takes while it is read whole and decoded: a
// buffer that grows, and the decoded text.
const bodyCost = 3

// WithBodyMemory sets the memory for the bodies of all requests of a server's routes.
func WithBodyMemory(b *mangomemory.Budget) Option { return func(o *options) { o.bodies = b } }

// boundBodies bounds the bodies that routes read: go-zero compares only the length that is
// sent, which bodies in chunks do not have and compressed ones exceed.
func (o *options) boundBodies(routes []rest.Route) []rest.Route {
	bounded := make([]rest.Route, 0, len(routes))
	for _, route := range routes {
		serve := route.Handler
		route.Handler = func(w http.ResponseWriter, r *http.Request) {
			room := o.bodies.Hold()
			defer room.Release()
			r.Body = &boundedBody{ReadCloser: r.Body, limit: o.maxBody, room: room}
			serve(w, r)
		}
		bounded = append(bounded, route)
	}
	return bounded
}

// boundedBody is a body that ends with a fault once it exceeds its limit or the memory.
type boundedBody struct {
	io.ReadCloser
	limit, size mangomodel.Bytes
	room        *mangomemory.Reservation
}

func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.size += mangomodel.Bytes(n)
	switch {
	case b.size > b.limit:
		return 0, mangomodel.Faultf(mangomodel.StepParse, "", mangomodel.CodeTooLarge, mangomodel.RunNot, "body exceeds %d bytes", b.limit)
	case n > 0 && !b.room.TryGrow(bodyCost*mangomodel.Bytes(n)):
		return 0, mangomodel.Faultf(mangomodel.StepParse, "", mangomodel.CodeOverloaded, mangomodel.RunNot, "no memory for the body of a request")
	}
	return n, err
}

// ReadBody reads a request's body whole. The error is a fault with RunNot.
func ReadBody(r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		if f := mangomodel.AsFault(err, mangomodel.StepParse); f.Run == mangomodel.RunNot {
			return nil, f
		}
		return nil, mangomodel.NewFault(mangomodel.StepParse, "", mangomodel.CodeInvalid, mangomodel.RunNot, err)
	}
	return data, nil
}
