// Package mangofront is the callers' HTTP interface.
//
// It turns messages into requests for the packages that serve them and faults
// into statuses; it decides nothing else.
//
// # Usage
//
//	f := mangofront.New(control, generator, caller, mangofront.WithMaxTokens(4096))
//	server, err := mangorest.NewServer("front", addr, f.Routes())
//
// A caller asks for an answer:
//
//	POST /v1/generate
//	Authorization: Bearer KEY
//	{"Workspace":"audit","Model":"summarizer","Rank":"Urgent","Prompt":"...","MaxTokens":200}
//
// The answer is one JSON event on each line. The last line has Done or Fault;
// an answer without either is incomplete. A request that is refused before
// its first token gets a status and a fault as its body.
package mangofront

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangoentry"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
	"mangolane/core/mangorest"
	"mangolane/core/mangoroute"
	"mangolane/core/mangowire"
)

// defaultMaxTokens bounds an answer unless an option says otherwise.
const defaultMaxTokens mangomodel.Tokens = 4096

// maxKeyLength bounds an idempotency key and a caller's request id, in bytes.
const maxKeyLength = 256

// Snapshots returns the daemon's control state.
type Snapshots interface{ Snapshot() *mangoquery.Snapshot }

// Generator serves generation requests.
type Generator interface {
	Generate(ctx context.Context, req mangoroute.Request, sink mangoroute.Sink) error
}

// Caller serves application calls.
type Caller interface {
	Call(ctx context.Context, req mangoentry.Request) (mangoentry.Response, error)
}

// Handler serves callers.
type Handler struct {
	snapshots Snapshots
	generator Generator
	caller    Caller
	maxTokens mangomodel.Tokens
	requests  atomic.Uint64
}

// Option configures a Handler.
type Option func(*Handler)

// WithMaxTokens bounds the answer that a caller may ask for.
func WithMaxTokens(n mangomodel.Tokens) Option { return func(f *Handler) { f.maxTokens = n } }

// New returns a Handler.
func New(snapshots Snapshots, generator Generator, caller Caller, opts ...Option) *Handler {
	f := &Handler{snapshots: snapshots, generator: generator, caller: caller, maxTokens: defaultMaxTokens}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Routes returns the routes to serve.
func (f *Handler) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: mangowire.PathGenerate, Handler: f.generate},
		{Method: http.MethodPost, Path: mangowire.PathCall, Handler: f.call},
		mangorest.Query(mangowire.PathHealth, f.health),
	}
}

// Health answers the platform's balancer.
type Health struct{ Ready bool }

func (f *Handler) health(*http.Request) (Health, error) {
	if err := f.ready(); err != nil {
		return Health{}, err
	}
	return Health{Ready: true}, nil
}

// ready fails while the daemon can take no requests.
func (f *Handler) ready() error {
	snap := f.snapshots.Snapshot()
	if snap.Stopping {
		return unavailable("the daemon is stopping")
	}
	if snap.Catalog.Revision() == 0 {
		return unavailable("no configuration has been read yet")
	}
	return nil
}

func (f *Handler) generate(w http.ResponseWriter, r *http.Request) {
	req, err := f.generation(r)
	if err != nil {
		mangorest.WriteFault(w, err)
		return
	}
	sink := newSink(w, req.ID)
	sink.finish(f.generator.Generate(r.Context(), req, sink))
}

// generation reads and checks a generation request.
func (f *Handler) generation(r *http.Request) (mangoroute.Request, error) {
	in, err := mangorest.Read[mangowire.Generate](r)
	if err != nil {
		return mangoroute.Request{}, err
	}
	ws, err := f.authorise(r, in.Workspace)
	if err != nil {
		return mangoroute.Request{}, err
	}
	switch {
	case in.Prompt == "":
		return mangoroute.Request{}, invalid("Prompt is empty")
	case in.MaxTokens <= 0 || in.MaxTokens > f.maxTokens:
		return mangoroute.Request{}, invalid("MaxTokens must be between 1 and %d", f.maxTokens)
	case !ws.HasModel(in.Model):
		return mangoroute.Request{}, notFound("the workspace has no model %q", in.Model)
	}
	return mangoroute.Request{
		ID: f.nextRequest(), Workspace: ws, Model: in.Model, Rank: in.Rank,
		Prompt: in.Prompt, MaxTokens: in.MaxTokens,
	}, nil
}

func (f *Handler) call(w http.ResponseWriter, r *http.Request) {
	req, err := f.application(r)
	if err != nil {
		mangorest.WriteFault(w, err)
		return
	}
	response, err := f.caller.Call(r.Context(), req)
	if err != nil {
		mangorest.WriteFault(w, err)
		return
	}
	w.Header().Set("Content-Type", response.ContentType)
	w.WriteHeader(response.Status)
	// A failed write means that the caller is gone.
	_, _ = w.Write(response.Body)
}

// application reads and checks an application call.
func (f *Handler) application(r *http.Request) (mangoentry.Request, error) {
	vars := pathvar.Vars(r)
	ws, err := f.authorise(r, mangomodel.WorkspaceID(vars["Workspace"]))
	if err != nil {
		return mangoentry.Request{}, err
	}
	call, ok := ws.Call(mangomodel.CallName(vars["Call"]))
	if !ok {
		return mangoentry.Request{}, notFound("the workspace has no call %q", vars["Call"])
	}
	key := r.Header.Get(mangowire.HeaderIdempotency)
	if len(key) > maxKeyLength {
		return mangoentry.Request{}, invalid("%s is longer than %d bytes", mangowire.HeaderIdempotency, maxKeyLength)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return mangoentry.Request{}, invalid("the body broke off: %v", err)
	}
	return mangoentry.Request{
		ID: f.nextRequest(), Workspace: ws, Call: call, Key: mangomodel.IdempotencyKey(key), Body: body,
	}, nil
}

// authorise returns the workspace if the request carries its key. An unknown
// workspace is refused like a wrong key, so that names cannot be guessed.
func (f *Handler) authorise(r *http.Request, id mangomodel.WorkspaceID) (mangoconfig.EffectiveWorkspace, error) {
	if err := f.ready(); err != nil {
		return mangoconfig.EffectiveWorkspace{}, err
	}
	ws, ok := f.snapshots.Snapshot().Workspace(id)
	key, bearer := strings.CutPrefix(r.Header.Get(mangowire.HeaderKey), "Bearer ")
	if !ok || !bearer || !ws.KeyMatches(key) {
		return mangoconfig.EffectiveWorkspace{}, mangomodel.Faultf(mangomodel.StepAuthorise, mangomodel.PeerName(id),
			mangomodel.CodeUnauthorised, mangomodel.RunNot, "the key does not match the workspace")
	}
	return ws, nil
}

func (f *Handler) nextRequest() mangomodel.RequestID {
	self := f.snapshots.Snapshot().Self
	return mangomodel.RequestID(fmt.Sprintf("%s/%d", self.Holder(), f.requests.Add(1)))
}

func invalid(format string, args ...any) error {
	return mangomodel.Faultf(mangomodel.StepParse, "", mangomodel.CodeInvalid, mangomodel.RunNot, format, args...)
}

func notFound(format string, args ...any) error {
	return mangomodel.Faultf(mangomodel.StepParse, "", mangomodel.CodeNotFound, mangomodel.RunNot, format, args...)
}

func unavailable(text string) error {
	return mangomodel.Faultf(mangomodel.StepAdmission, "", mangomodel.CodeUnavailable, mangomodel.RunNot, "%s", text)
}
