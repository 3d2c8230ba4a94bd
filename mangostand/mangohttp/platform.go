package mangohttp

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest"

	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
	"mangolane/core/mangowire"
	"mangolane/mangostand/mangostore"
)

// Platform serves an emulated platform.
type Platform struct{ store *mangostore.Store }

// NewPlatform returns a server for a platform.
func NewPlatform(s *mangostore.Store) *Platform { return &Platform{store: s} }

// PlatformState is the state of a platform as PathState returns it.
type PlatformState struct{ Writes, Reads int }

// Routes returns the routes to serve.
func (p *Platform) Routes() []rest.Route {
	return []rest.Route{
		mangorest.Query(mangowire.PathTable, p.get),
		mangorest.Handle(http.MethodPut, mangowire.PathTable, p.put),
		mangorest.Query(mangowire.PathObjects, p.getObject),
		mangorest.Handle(http.MethodPut, mangowire.PathObjects, p.putObject),
		mangorest.Query(mangowire.PathHosts, p.hosts),
		mangorest.Handle(http.MethodPut, mangowire.PathHosts, p.setHosts),
		mangorest.Query(PathState, p.state),
		mangorest.Handle(http.MethodPost, PathFaults, p.inject),
	}
}

func (p *Platform) get(r *http.Request) (mangomodel.Row, error) {
	return p.store.Get(r.Context(), mangomodel.TableKey(r.URL.Query().Get("Key")))
}

func (p *Platform) put(r *http.Request, in mangowire.PutRow) (mangowire.RowWritten, error) {
	version, err := p.store.Put(r.Context(), in.Key, in.Value, in.Expect)
	return mangowire.RowWritten{Version: version}, err
}

func (p *Platform) getObject(r *http.Request) (mangowire.Object, error) {
	name := r.URL.Query().Get("Name")
	data, err := p.store.GetObject(r.Context(), name)
	return mangowire.Object{Name: name, Data: data}, err
}

func (p *Platform) putObject(r *http.Request, in mangowire.Object) (empty, error) {
	return empty{}, p.store.PutObject(r.Context(), in.Name, in.Data)
}

func (p *Platform) hosts(r *http.Request) (mangowire.HostList, error) {
	hosts, err := p.store.Hosts(r.Context())
	return mangowire.HostList{Hosts: hosts}, err
}

func (p *Platform) setHosts(r *http.Request, in mangowire.HostList) (empty, error) {
	return empty{}, p.store.SetHosts(r.Context(), in.Hosts)
}

func (p *Platform) state(*http.Request) (PlatformState, error) {
	v := p.store.View()
	return PlatformState{Writes: v.Writes, Reads: v.Reads}, nil
}

func (p *Platform) inject(r *http.Request, in mangostore.Faults) (empty, error) {
	return empty{}, p.store.Inject(r.Context(), in)
}
