package mangobackend

import (
	"context"
	"io"
	"net/http"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangoentry"
	"mangolane/core/mangomodel"
	"mangolane/core/mangowire"
)

// maxResponse bounds the answer of a service.
const maxResponse = 4 << 20

// Send sends a call once. Whatever status the service answers is the call's
// response.
func (b *Backend) Send(ctx context.Context, server mangoconfig.Host, call mangoentry.OutgoingCall) (mangoentry.Response, error) {
	client := b.client(server)
	if call.AtMostOnce {
		client = b.once(server)
	}
	header := http.Header{"X-Workspace": {string(call.Workspace)}}
	if call.Key != "" {
		header.Set(mangowire.HeaderIdempotency, string(call.Key))
	}
	resp, err := client.Open(ctx, mangomodel.StepCall, http.MethodPost, call.Path, header, call.Body)
	if err != nil {
		return mangoentry.Response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse+1))
	if err != nil || len(body) > maxResponse {
		return mangoentry.Response{}, mangomodel.Faultf(mangomodel.StepCall, mangomodel.PeerName(server.ID),
			mangomodel.CodeBackend, mangomodel.RunUnknown, "the answer broke off or exceeds %d bytes: %v", maxResponse, err)
	}
	return mangoentry.Response{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
	}, nil
}
