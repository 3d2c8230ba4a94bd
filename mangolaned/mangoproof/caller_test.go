package mangoproof_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"mangolane/core/mangoentry"
	"mangolane/core/mangomodel"
	"mangolane/core/mangoroute"
	"mangolane/mangostand/mangoengine"
)

// response is what a caller received for a generation request.
type response struct {
	prompt     string
	want       mangomodel.Tokens
	text       strings.Builder
	nextOffset mangomodel.Tokens
	// outOfOrder is set when a token was repeated, missing or out of order.
	outOfOrder bool
	// elapsed is the time from sending the request to the end of the response.
	elapsed time.Duration
	endedAt time.Time
	err     error
}

// Token implements [mangoroute.Sink].
func (r *response) Token(offset mangomodel.Tokens, text string) error {
	if offset != r.nextOffset {
		r.outOfOrder = true
	}
	r.nextOffset++
	r.text.WriteString(text)
	return nil
}

// complete reports whether the caller received exactly the expected text.
func (r *response) complete() bool {
	return r.err == nil && !r.outOfOrder && r.text.String() == mangoengine.ExpectedOutput(r.prompt, r.want)
}

// isPrefix reports whether the received text is a prefix of the expected text.
func (r *response) isPrefix() bool {
	return !r.outOfOrder && strings.HasPrefix(mangoengine.ExpectedOutput(r.prompt, r.want), r.text.String())
}

// refused reports whether the request failed with a fault that states that it
// has not run.
func (r *response) refused() bool {
	return r.err != nil && mangomodel.AsFault(r.err, mangomodel.StepRespond).Run == mangomodel.RunNot
}

// generate sends one generation request to a daemon and waits until it ends.
func (n *node) generate(ctx context.Context, rank mangomodel.Rank, prompt string, tokens mangomodel.Tokens) *response {
	r := &response{prompt: prompt, want: tokens}
	sent := time.Now()
	defer func() { r.endedAt = time.Now(); r.elapsed = r.endedAt.Sub(sent) }()
	r.err = n.generator.Generate(ctx, mangoroute.Request{
		ID: n.nextID(), Workspace: n.workspace(), Model: model, Rank: rank, Prompt: prompt, MaxTokens: tokens,
	}, r)
	return r
}

// generateMany sends count requests to the daemons in turn, one per interval,
// and waits until all have ended.
func (c *cluster) generateMany(ctx context.Context, count int, interval time.Duration, rank mangomodel.Rank, tokens mangomodel.Tokens) []*response {
	responses := make([]*response, count)
	var wg sync.WaitGroup
	live := c.nodes
	for i := range count {
		wg.Go(func() {
			responses[i] = live[i%len(live)].generate(ctx, rank, promptOf(i, 400), tokens)
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return responses
}

// promptOf returns a prompt of n tokens that is unique for each i.
func promptOf(i int, n mangomodel.Tokens) string {
	head := fmt.Sprintf("request %d ", i)
	return head + strings.Repeat("log ", int(n)-len(head)/4)
}

// call sends an application call to a daemon.
func (n *node) call(ctx context.Context, name mangomodel.CallName, key mangomodel.IdempotencyKey, body string) (mangoentry.Response, error) {
	ws := n.workspace()
	call, _ := ws.Call(name)
	return n.caller.Call(ctx, mangoentry.Request{ID: n.nextID(), Workspace: ws, Call: call, Key: key, Body: []byte(body)})
}
