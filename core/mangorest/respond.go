package mangorest

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
	"mangolane/core/mangowire"
)

// Handle returns a route that decodes a message of type In strictly, calls f
// with it and writes the result or the fault of f.
func Handle[In, Out any](method, path string, f func(r *http.Request, in In) (Out, error)) rest.Route {
	return rest.Route{Method: method, Path: path, Handler: func(w http.ResponseWriter, r *http.Request) {
		in, err := Read[In](r)
		if err != nil {
			WriteFault(w, err)
			return
		}
		out, err := f(r, in)
		if err != nil {
			WriteFault(w, err)
			return
		}
		Write(w, http.StatusOK, out)
	}}
}

// Query returns a GET route that writes the result or the fault of f.
func Query[Out any](path string, f func(r *http.Request) (Out, error)) rest.Route {
	return rest.Route{Method: http.MethodGet, Path: path, Handler: func(w http.ResponseWriter, r *http.Request) {
		out, err := f(r)
		if err != nil {
			WriteFault(w, err)
			return
		}
		Write(w, http.StatusOK, out)
	}}
}

// Read decodes a request's body strictly as one JSON document.
func Read[In any](r *http.Request) (In, error) {
	var zero In
	data, err := ReadBody(r)
	if err != nil {
		return zero, err
	}
	return mangoconfig.Decode[In](data)
}

// Write writes a message as JSON. It has a length, so that it is complete for its client
// before the handler returns.
func Write(w http.ResponseWriter, status int, out any) {
	var body bytes.Buffer
	if err := json.NewEncoder(&body).Encode(out); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_, _ = w.Write(body.Bytes())
}

// WriteFault writes an error as a fault body with the status of its code.
func WriteFault(w http.ResponseWriter, err error) {
	f := mangomodel.AsFault(err, mangomodel.StepRespond)
	if f.RetryAfter > 0 {
		seconds := (f.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set(mangowire.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	Write(w, mangowire.StatusOf(f.Code), mangowire.FaultBodyOf(f))
}
