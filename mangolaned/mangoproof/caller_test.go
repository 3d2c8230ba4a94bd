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

// answer is what a caller got for a generation request.
type answer struct {
	prompt string
	want   mangomodel.Tokens
	text   strings.Builder
	next   mangomodel.Tokens
	// disorder is set when a token came twice or out of order.
	disorder bool
	// took is how long the caller waited for the end.
	took time.Duration
	err  error
}

// Token implements [mangoroute.Sink].
func (a *answer) Token(offset mangomodel.Tokens, text string) error {
	if offset != a.next {
		a.disorder = true
	}
	a.next++
	a.text.WriteString(text)
	return nil
}

// whole reports whether the caller got exactly its answer.
func (a *answer) whole() bool {
	return a.err == nil && !a.disorder && a.text.String() == mangoengine.Answer(a.prompt, a.want)
}

// partial reports whether what the caller got is a prefix of its answer.
func (a *answer) partial() bool {
	return !a.disorder && strings.HasPrefix(mangoengine.Answer(a.prompt, a.want), a.text.String())
}

// refused reports whether the caller was told that its request has not run.
func (a *answer) refused() bool {
	return a.err != nil && mangomodel.AsFault(a.err, mangomodel.StepRespond).Run == mangomodel.RunNot
}

// generate sends one request to a daemon and waits for its end.
func (n *node) generate(ctx context.Context, rank mangomodel.Rank, prompt string, tokens mangomodel.Tokens) *answer {
	a := &answer{prompt: prompt, want: tokens}
	sent := time.Now()
	defer func() { a.took = time.Since(sent) }()
	a.err = n.generator.Generate(ctx, mangoroute.Request{
		ID: n.nextID(), Workspace: n.workspace(), Model: model, Rank: rank, Prompt: prompt, MaxTokens: tokens,
	}, a)
	return a
}

// generateMany sends requests to the daemons in turn, one each interval.
func (c *cluster) generateMany(ctx context.Context, count int, interval time.Duration, rank mangomodel.Rank, tokens mangomodel.Tokens) []*answer {
	answers := make([]*answer, count)
	var running sync.WaitGroup
	live := c.nodes
	for i := range count {
		running.Go(func() {
			answers[i] = live[i%len(live)].generate(ctx, rank, promptOf(i, 400), tokens)
		})
		time.Sleep(interval)
	}
	running.Wait()
	return answers
}

// promptOf returns a prompt of n tokens that differs for each i.
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
