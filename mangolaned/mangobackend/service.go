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

// maxResponseBody bounds the body of a service's response.
const maxResponseBody = 4 << 20

// Send sends a call once. A response with any status is a success. It does not name
// its call, so that on a reused connection it could be the copy of an earlier one.
func (b *Backend) Send(ctx context.Context, server mangoconfig.Host, call mangoentry.OutgoingCall) (mangoentry.Response, error) {
	client := b.singleUseClient(server)
	header := http.Header{"X-Workspace": {string(call.Workspace)}}
	if call.Key != "" {
		header.Set(mangowire.HeaderIdempotency, string(call.Key))
	}
	resp, err := client.Open(ctx, mangomodel.StepCall, http.MethodPost, call.Path, header, call.Body)
	if err != nil {
		return mangoentry.Response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBody+1))
	if err != nil || len(body) > maxResponseBody {
		return mangoentry.Response{}, mangomodel.Faultf(mangomodel.StepCall, mangomodel.PeerName(server.ID),
			mangomodel.CodeBackend, mangomodel.RunUnknown, "the response was aborted or exceeds %d bytes: %v", maxResponseBody, err)
	}
	return mangoentry.Response{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
	}, nil
}
