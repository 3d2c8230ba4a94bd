// Package mangohttp serves the emulated engines, services and platform over
// HTTP.
//
// # Usage
//
//	e := mangohttp.NewEngine(engine)
//	server, err := mangorest.NewServer("engine", addr, e.Routes())
//
// In addition to the routes of the emulated server, POST /stand/faults sets the
// active faults and GET /stand/state returns the state.
package mangohttp

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
	"mangolane/core/mangowire"
	"mangolane/mangostand/mangoengine"
)

const (
	// PathFaults replaces the active faults.
	PathFaults = "/stand/faults"
	// PathState returns the state.
	PathState = "/stand/state"
	// PathCrash crashes an engine.
	PathCrash = "/stand/crash"
	// PathStallStreams stalls the open streams of an engine.
	PathStallStreams = "/stand/silence"
	// chunkTimeout is the longest wait for the next chunk of a stream.
	chunkTimeout = time.Hour
)

// empty is a request or response without content.
type empty struct{}

// Engine serves an emulated engine.
type Engine struct{ engine *mangoengine.Engine }

// NewEngine returns a server for an engine.
func NewEngine(e *mangoengine.Engine) *Engine { return &Engine{engine: e} }

// Routes returns the routes to serve.
func (e *Engine) Routes() []rest.Route {
	return []rest.Route{
		mangorest.Handle(http.MethodPost, mangowire.PathPrefill, e.prefill),
		mangorest.Handle(http.MethodPost, mangowire.PathExport, e.export),
		mangorest.Handle(http.MethodPost, mangowire.PathImport, e.fetch),
		mangorest.Handle(http.MethodPost, mangowire.PathCancel, e.cancel),
		{Method: http.MethodPost, Path: mangowire.PathDecode, Handler: e.decode},
		mangorest.Query(mangowire.PathLoad, func(*http.Request) (mangowire.Load, error) { return e.engine.Load() }),
		mangorest.Query(PathState, func(*http.Request) (mangoengine.View, error) { return *e.engine.View(), nil }),
		mangorest.Handle(http.MethodPost, PathFaults, e.inject),
		mangorest.Handle(http.MethodPost, PathCrash, e.crash),
		mangorest.Handle(http.MethodPost, PathStallStreams, e.stallStreams),
	}
}

func (e *Engine) prefill(r *http.Request, in mangowire.Prefill) (empty, error) {
	return empty{}, e.engine.Prefill(r.Context(), in)
}

func (e *Engine) export(r *http.Request, in mangowire.Export) (mangowire.Exported, error) {
	return e.engine.Export(r.Context(), in.Sequence)
}

func (e *Engine) fetch(r *http.Request, in mangowire.Import) (empty, error) {
	return empty{}, e.engine.Import(r.Context(), in.Sequence, remote{in.From})
}

func (e *Engine) cancel(r *http.Request, in mangowire.Cancel) (empty, error) {
	return empty{}, e.engine.Cancel(r.Context(), in.Sequence)
}

func (e *Engine) inject(r *http.Request, in mangoengine.Faults) (empty, error) {
	return empty{}, e.engine.Inject(r.Context(), in)
}

func (e *Engine) crash(r *http.Request, _ empty) (empty, error) {
	return empty{}, e.engine.Crash(r.Context())
}

func (e *Engine) stallStreams(r *http.Request, _ empty) (empty, error) {
	return empty{}, e.engine.StallStreams(r.Context())
}

// decode streams chunks until the last one. If the stream fails, the response
// body ends without the last chunk and without an error.
func (e *Engine) decode(w http.ResponseWriter, r *http.Request) {
	in, err := mangorest.Read[mangowire.Decode](r)
	if err != nil {
		mangorest.WriteFault(w, err)
		return
	}
	stream, err := e.engine.Decode(r.Context(), in)
	if err != nil {
		mangorest.WriteFault(w, err)
		return
	}
	defer stream.Close()
	rc := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	w.WriteHeader(http.StatusOK)
	// The first flush sends the headers, so the caller sees the open stream
	// before the first chunk.
	for err := rc.Flush(); err == nil; err = rc.Flush() {
		chunk, nextErr := stream.Next(chunkTimeout)
		if nextErr != nil {
			return
		}
		if enc.Encode(chunk) != nil {
			return
		}
		if chunk.Last {
			return
		}
	}
}

// remote is an engine in another process.
type remote struct{ addr mangomodel.Address }

// Export implements [mangoengine.Exporter].
func (r remote) Export(ctx context.Context, seq mangomodel.Sequence) (mangowire.Exported, error) {
	var out mangowire.Exported
	client := mangorest.NewClient(mangomodel.PeerName(r.addr), r.addr, mangorest.WithoutReuse())
	err := client.Exchange(ctx, mangomodel.StepTransfer, http.MethodPost, mangowire.PathExport, mangowire.Export{Sequence: seq}, &out)
	return out, err
}
