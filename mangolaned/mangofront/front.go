// Package mangofront is the callers' HTTP interface.
//
// It decodes, authorises and checks HTTP requests, passes them to the packages
// that serve them, and encodes responses and faults. It makes no other decisions.
//
// # Usage
//
//	h := mangofront.New(control, generator, caller, mangofront.WithMaxTokens(4096))
//	server, err := mangorest.NewServer("front", addr, h.Routes())
//
// A caller sends a generation request:
//
//	POST /v1/generate
//	Authorization: Bearer KEY
//	{"Workspace":"audit","Model":"summarizer","Rank":"Urgent","Prompt":"...","MaxTokens":200}
//
// The response has one JSON event per line. The last line has Done or Fault; a
// response without either is incomplete. A request that fails before its first
// token gets an error status, with a fault as the body.
package mangofront

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangoentry"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
	"mangolane/core/mangorest"
	"mangolane/core/mangoroute"
	"mangolane/core/mangowire"
	"mangolane/core/mangoworkspace"
)

// defaultMaxTokens bounds the generated tokens of a request by default.
const defaultMaxTokens mangomodel.Tokens = 4096

// maxKeyLength bounds an idempotency key, in bytes.
const maxKeyLength = 256

// Snapshots provides the daemon's control state.
type Snapshots interface{ Snapshot() *mangoquery.Snapshot }

// Generator serves generation requests.
type Generator interface {
	Generate(ctx context.Context, req mangoroute.Request, sink mangoroute.Sink) error
}

// Caller serves application calls.
type Caller interface {
	Call(ctx context.Context, req mangoentry.Request) (mangoentry.Response, error)
}

// Handler serves the callers' HTTP requests.
type Handler struct {
	snapshots Snapshots
	generator Generator
	caller    Caller
	maxTokens mangomodel.Tokens
	// stopping ends when the daemon answers what is left of its requests.
	stopping context.Context
	// requests numbers the requests of this incarnation.
	requests atomic.Uint64
}

// Option configures a Handler.
type Option func(*Handler)

// WithMaxTokens bounds the number of generated tokens that a caller may request.
func WithMaxTokens(n mangomodel.Tokens) Option { return func(h *Handler) { h.maxTokens = n } }

// WithStopping sets a context whose end ends all requests. Its cause is the fault of those
// that have not run.
func WithStopping(ctx context.Context) Option { return func(h *Handler) { h.stopping = ctx } }

// New returns a Handler.
func New(snapshots Snapshots, generator Generator, caller Caller, opts ...Option) *Handler {
	h := &Handler{
		snapshots: snapshots, generator: generator, caller: caller, maxTokens: defaultMaxTokens,
		stopping: context.Background(),
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Routes returns the routes to serve.
func (h *Handler) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: mangowire.PathGenerate, Handler: h.untilStop(h.generate)},
		{Method: http.MethodPost, Path: mangowire.PathCall, Handler: h.untilStop(h.call)},
		mangorest.Query(mangowire.PathHealth, h.health),
	}
}

// untilStop ends the reads and the context of a request when the daemon answers what is
// left of its requests.
func (h *Handler) untilStop(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		defer context.AfterFunc(h.stopping, func() {
			cancel(context.Cause(h.stopping))
			// A connection without deadlines is read for as long as its caller sends.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		})()
		serve(w, r.WithContext(ctx))
	}
}

// refuse responds to a request that cannot be parsed or read, and so has not run.
func (h *Handler) refuse(w http.ResponseWriter, err error) {
	if h.stopping.Err() != nil {
		w.Header().Set("Connection", "close")
		err = context.Cause(h.stopping)
	}
	mangorest.WriteFault(w, err)
}

// Health is the response to a health check of the platform's load balancer.
type Health struct{ Ready bool }

func (h *Handler) health(*http.Request) (Health, error) {
	if err := h.ready(); err != nil {
		return Health{}, err
	}
	return Health{Ready: true}, nil
}

// ready returns a fault while the daemon cannot accept requests.
func (h *Handler) ready() error {
	snap := h.snapshots.Snapshot()
	if snap.Stopping {
		return unavailable("the daemon is stopping")
	}
	if snap.Catalog.Revision() == 0 {
		return unavailable("no configuration has been read yet")
	}
	return nil
}

func (h *Handler) generate(w http.ResponseWriter, r *http.Request) {
	req, err := h.parseGenerate(r)
	if err != nil {
		h.refuse(w, err)
		return
	}
	sink := newSink(w, req.ID)
	sink.finish(h.generator.Generate(r.Context(), req, sink))
}

// parseGenerate decodes, authorises and checks a generation request.
func (h *Handler) parseGenerate(r *http.Request) (mangoroute.Request, error) {
	in, err := mangorest.Read[mangowire.Generate](r)
	if err != nil {
		return mangoroute.Request{}, err
	}
	ws, err := h.authorise(r, in.Workspace)
	if err != nil {
		return mangoroute.Request{}, err
	}
	switch {
	case in.Prompt == "":
		return mangoroute.Request{}, invalid("Prompt is empty")
	case in.MaxTokens <= 0 || in.MaxTokens > h.maxTokens:
		return mangoroute.Request{}, invalid("MaxTokens must be between 1 and %d", h.maxTokens)
	case !ws.HasModel(in.Model):
		return mangoroute.Request{}, notFound("the workspace has no model %q", in.Model)
	}
	return mangoroute.Request{
		ID: h.nextRequestID(), Workspace: ws, Model: in.Model, Rank: in.Rank,
		Prompt: in.Prompt, MaxTokens: in.MaxTokens,
	}, nil
}

func (h *Handler) call(w http.ResponseWriter, r *http.Request) {
	req, err := h.parseCall(r)
	if err != nil {
		h.refuse(w, err)
		return
	}
	response, err := h.caller.Call(r.Context(), req)
	if err != nil {
		mangorest.WriteFault(w, err)
		return
	}
	w.Header().Set("Content-Type", response.ContentType)
	w.WriteHeader(response.Status)
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(response.Body)
}

// parseCall decodes, authorises and checks an application call.
func (h *Handler) parseCall(r *http.Request) (mangoentry.Request, error) {
	vars := pathvar.Vars(r)
	ws, err := h.authorise(r, mangomodel.WorkspaceID(vars["Workspace"]))
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
	body, err := mangorest.ReadBody(r)
	if err != nil {
		return mangoentry.Request{}, err
	}
	return mangoentry.Request{
		ID: h.nextRequestID(), Workspace: ws, Call: call, Key: mangomodel.IdempotencyKey(key), Body: body,
	}, nil
}

// authorise returns the workspace if the request carries its key. It refuses an
// unknown workspace with the same fault as a wrong key, so that callers cannot
// probe for workspace names.
func (h *Handler) authorise(r *http.Request, id mangomodel.WorkspaceID) (mangoconfig.EffectiveWorkspace, error) {
	if err := h.ready(); err != nil {
		return mangoconfig.EffectiveWorkspace{}, err
	}
	ws, ok := h.snapshots.Snapshot().Workspace(id)
	key, bearer := strings.CutPrefix(r.Header.Get(mangowire.HeaderKey), "Bearer ")
	if !ok || !bearer || !ws.KeyMatches(mangoworkspace.DigestOf(key)) {
		return mangoconfig.EffectiveWorkspace{}, mangomodel.Faultf(mangomodel.StepAuthorise, mangomodel.PeerName(id),
			mangomodel.CodeUnauthorised, mangomodel.RunNot, "the key does not match the workspace")
	}
	return ws, nil
}

// nextRequestID returns a request id that is unique across daemons and
// incarnations.
func (h *Handler) nextRequestID() mangomodel.RequestID {
	self := h.snapshots.Snapshot().Self
	return mangomodel.RequestID(fmt.Sprintf("%s/%d", self.Holder(), h.requests.Add(1)))
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
