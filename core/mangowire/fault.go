package mangowire

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"mangolane/core/mangomodel"
)

// FaultBody is the encoding of a fault for callers and peers.
type FaultBody struct {
	Step    mangomodel.Step
	Peer    mangomodel.PeerName `json:",omitempty"`
	Code    mangomodel.Code
	Run     mangomodel.Run
	Message string
	// RetryAfter is the suggested delay before a retry; zero means unknown.
	RetryAfter mangomodel.Duration `json:",omitempty"`
}

// FaultBodyOf returns the encoding of a fault.
func FaultBodyOf(f *mangomodel.Fault) FaultBody {
	return FaultBody{
		Step: f.Step, Peer: f.Peer, Code: f.Code, Run: f.Run,
		Message: strings.TrimPrefix(f.Err.Error(), string(mangomodel.Errors)+": "), RetryAfter: mangomodel.Duration(f.RetryAfter),
	}
}

// Fault returns the fault that b encodes.
func (b FaultBody) Fault() *mangomodel.Fault {
	f := mangomodel.NewFault(b.Step, b.Peer, b.Code, b.Run, errors.New(b.Message))
	f.RetryAfter = time.Duration(b.RetryAfter)
	return f
}

// StatusOf returns the HTTP status code for a fault code.
func StatusOf(code mangomodel.Code) int {
	switch code {
	case mangomodel.CodeInvalid:
		return http.StatusBadRequest
	case mangomodel.CodeUnauthorised:
		return http.StatusUnauthorized
	case mangomodel.CodeNotFound:
		return http.StatusNotFound
	case mangomodel.CodeOverloaded, mangomodel.CodeQuotaExceeded:
		return http.StatusTooManyRequests
	case mangomodel.CodeUnavailable:
		return http.StatusServiceUnavailable
	case mangomodel.CodeConflict, mangomodel.CodeInProgress, mangomodel.CodeCannotResume:
		return http.StatusConflict
	case mangomodel.CodeQuarantined:
		return http.StatusUnprocessableEntity
	case mangomodel.CodeUnknownOutcome, mangomodel.CodeTimeout:
		return http.StatusGatewayTimeout
	case mangomodel.CodeHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case mangomodel.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusBadGateway
	}
}

// CodeFrom returns the fault code for an HTTP status code.
func CodeFrom(status int) mangomodel.Code {
	switch status {
	case http.StatusBadRequest:
		return mangomodel.CodeInvalid
	case http.StatusUnauthorized:
		return mangomodel.CodeUnauthorised
	case http.StatusNotFound:
		return mangomodel.CodeNotFound
	case http.StatusTooManyRequests:
		return mangomodel.CodeOverloaded
	case http.StatusServiceUnavailable:
		return mangomodel.CodeUnavailable
	case http.StatusConflict, http.StatusPreconditionFailed:
		return mangomodel.CodeConflict
	default:
		return mangomodel.CodeBackend
	}
}
