package mangohttp

import (
	"io"
	"net/http"

	"github.com/zeromicro/go-zero/rest"

	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
	"mangolane/core/mangowire"
	"mangolane/mangostand/mangoservice"
)

// Service serves an emulated plain service.
type Service struct {
	recorder *mangoservice.Recorder
	paths    []string
}

// NewService returns a server for a plain service that accepts calls at paths.
func NewService(r *mangoservice.Recorder, paths []string) *Service {
	return &Service{recorder: r, paths: paths}
}

// ServiceState is the state of a service as PathState returns it.
type ServiceState struct {
	Runs map[mangoservice.Operation]int
}

// Routes returns the routes to serve.
func (s *Service) Routes() []rest.Route {
	routes := []rest.Route{
		mangorest.Query(mangowire.PathLoad, s.load),
		mangorest.Query(PathState, s.state),
		mangorest.Handle(http.MethodPost, PathFaults, s.inject),
	}
	for _, path := range s.paths {
		routes = append(routes, rest.Route{Method: http.MethodPost, Path: path, Handler: s.call})
	}
	return routes
}

func (s *Service) load(*http.Request) (mangowire.Load, error) {
	return mangowire.Load{Boot: "1"}, nil
}

func (s *Service) state(*http.Request) (ServiceState, error) {
	return ServiceState{Runs: s.recorder.Counts().All()}, nil
}

func (s *Service) inject(r *http.Request, in mangoservice.Faults) (empty, error) {
	return empty{}, s.recorder.Inject(r.Context(), in)
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		mangorest.WriteFault(w, mangomodel.NewFault(mangomodel.StepParse, "", mangomodel.CodeInvalid, mangomodel.RunNot, err))
		return
	}
	response, err := s.recorder.Call(r.Context(), r.URL.Path, body)
	if err != nil {
		mangorest.WriteFault(w, err)
		return
	}
	if s.recorder.Counts().Faults().LoseAnswers {
		closeConnection(w)
		return
	}
	w.WriteHeader(http.StatusOK)
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(response)
}

// closeConnection closes the connection without sending a response.
func closeConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}
