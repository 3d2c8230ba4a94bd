// Package mangoadmin is the operators' HTTP interface.
//
// Commands, which change state, and queries, which only read it, have separate
// paths. Every request needs the operators' key.
//
// # Usage
//
//	a := mangoadmin.New(control, publisher, follower, recorder, metrics, keyHash, stop)
//	server, err := mangorest.NewServer("admin", addr, a.Routes())
//
// An operator publishes a change of one document:
//
//	POST /admin/command/publish
//	Authorization: Bearer KEY
//	{"Expect":0,"Pool":{"Model":"summarizer", ...}}
//
// The response holds the new revision. A change that was sent with an ID may be
// sent again with the same ID if the response is lost; it is accepted at most once.
package mangoadmin

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomember"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoquery"
	"mangolane/core/mangorest"
	"mangolane/core/mangowire"
	"mangolane/mangolaned/mangotrace"
)

// publishTimeout bounds the time to publish a change.
const publishTimeout = 10 * time.Second

// Snapshots provides the daemon's control state.
type Snapshots interface{ Snapshot() *mangoquery.Snapshot }

// Publisher publishes changes of the configuration and returns the revision that
// holds them.
type Publisher interface {
	Publish(ctx context.Context, catalog *mangoconfig.Catalog, change mangoconfig.Change) (mangomodel.Revision, error)
}

// Refresher makes the daemon read the newest configuration at once.
type Refresher interface{ Refresh(ctx context.Context) }

// Spans provides the recorded spans of a trace, or of all traces if traceID is
// empty.
type Spans interface {
	Spans(traceID string) []mangotrace.Span
}

// Metrics writes the daemon's metrics.
type Metrics interface{ WriteJSON(w io.Writer) }

// Admin serves the operators' HTTP requests.
type Admin struct {
	snapshots Snapshots
	publisher Publisher
	refresher Refresher
	spans     Spans
	metrics   Metrics
	keyHash   string
	stop      func()
}

// New returns an Admin. The stop function begins a graceful shutdown.
func New(snapshots Snapshots, publisher Publisher, refresher Refresher, spans Spans, metrics Metrics, keyHash string, stop func()) *Admin {
	return &Admin{
		snapshots: snapshots, publisher: publisher, refresher: refresher,
		spans: spans, metrics: metrics, keyHash: keyHash, stop: stop,
	}
}

// Routes returns the routes to serve.
func (a *Admin) Routes() []rest.Route {
	routes := []rest.Route{
		mangorest.Handle(http.MethodPost, mangowire.PathPublish, a.publish),
		mangorest.Handle(http.MethodPost, mangowire.PathStop, a.beginStop),
		mangorest.Query(mangowire.PathConfiguration, a.configuration),
		mangorest.Query(mangowire.PathStatus, a.status),
		mangorest.Query(mangowire.PathTraces, a.traces),
		mangorest.Query(mangowire.PathMetrics, a.readMetrics),
	}
	return rest.WithMiddleware(a.requireKey, routes...)
}

// requireKey refuses requests without the operators' key.
func (a *Admin) requireKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get(mangowire.HeaderKey), "Bearer ")
		sum := sha256.Sum256([]byte(key))
		if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(strings.ToLower(a.keyHash))) != 1 {
			mangorest.WriteFault(w, mangomodel.Faultf(mangomodel.StepAuthorise, "",
				mangomodel.CodeUnauthorised, mangomodel.RunNot, "the key is not the operators' key"))
			return
		}
		next(w, r)
	}
}

func (a *Admin) publish(r *http.Request, change mangoconfig.Change) (mangowire.Published, error) {
	if change.ID == "" {
		change.ID = mangomodel.ChangeID(rand.Text())
	}
	// A client that disconnects does not cancel a change that is being published.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), publishTimeout)
	defer cancel()
	rev, err := a.publisher.Publish(ctx, a.snapshots.Snapshot().Catalog, change)
	if err != nil {
		return mangowire.Published{}, err
	}
	a.refresher.Refresh(ctx)
	return mangowire.Published{Revision: rev, ID: change.ID}, nil
}

func (a *Admin) beginStop(*http.Request, struct{}) (struct{}, error) {
	a.stop()
	return struct{}{}, nil
}

func (a *Admin) configuration(*http.Request) (mangowire.Configuration, error) {
	return mangowire.Configuration{Documents: a.snapshots.Snapshot().Catalog.Documents()}, nil
}

// Status is the state of a daemon in the response to a status query.
type Status struct {
	Daemon      mangomodel.DaemonID
	Incarnation mangomodel.Incarnation
	Revision    mangomodel.Revision
	Stopping    bool
	Members     []mangomember.Member
	// Owns are the shards that this daemon schedules.
	Owns   []mangomodel.ShardID
	Shards []mangoquery.ShardStatus
	// Grants is the number of active grants of this daemon's scheduler, and
	// Holdings the number of grants that this daemon's requests hold.
	Grants   int
	Holdings int
	// Leaving are the backend servers that the platform's host list shows as
	// leaving.
	Leaving    []mangomodel.ServerID
	Suspicions []mangomodel.Suspicion
}

func (a *Admin) status(*http.Request) (Status, error) {
	snap := a.snapshots.Snapshot()
	st := Status{
		Daemon: snap.Self.Daemon, Incarnation: snap.Self.Incarnation, Revision: snap.Catalog.Revision(),
		Stopping: snap.Stopping, Members: snap.Members, Shards: snap.Shards,
		Grants: snap.Grants.Len(), Holdings: snap.Holdings.Len(), Suspicions: snap.Suspicions,
		Leaving: snap.HostList.Leaving,
	}
	for _, shard := range snap.OwnShards() {
		st.Owns = append(st.Owns, shard.ID)
	}
	return st, nil
}

// Traces holds recorded spans.
type Traces struct{ Spans []mangotrace.Span }

func (a *Admin) traces(r *http.Request) (Traces, error) {
	return Traces{Spans: a.spans.Spans(r.URL.Query().Get("Trace"))}, nil
}

func (a *Admin) readMetrics(*http.Request) (json.RawMessage, error) {
	var b strings.Builder
	a.metrics.WriteJSON(&b)
	return json.RawMessage(b.String()), nil
}
