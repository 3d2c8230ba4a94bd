package mangoload

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
	"mangolane/core/mangowire"
	"mangolane/mangostand/mangoengine"
)

// Outcome is the result of one request.
type Outcome struct {
	Arrival Arrival
	// Status is the HTTP status, or zero when there was no response.
	Status int
	TTFT   time.Duration
	// TPOT is the mean time between tokens.
	TPOT   time.Duration
	Tokens mangomodel.Tokens
	// Complete is set when the response ended with Done.
	Complete bool
	// Wrong is set when a token or, in a complete response, the number of tokens
	// was not the expected one.
	Wrong bool
	// Fault is the fault that ended the request, if any.
	Fault mangowire.FaultBody
}

// Send sends all requests of a plan and returns their outcomes in order of
// arrival.
func Send(ctx context.Context, p Plan) []Outcome {
	clients := make([]*mangorest.Client, len(p.Daemons))
	for i, addr := range p.Daemons {
		clients[i] = mangorest.NewClient(mangomodel.PeerName(addr), addr)
	}
	arrivals := p.Arrivals()
	outcomes := make([]Outcome, len(arrivals))
	started := time.Now()
	var running sync.WaitGroup
	for i, a := range arrivals {
		running.Go(func() {
			if sleepUntil(ctx, started.Add(a.At)) {
				outcomes[i] = sendRequest(ctx, clients[i%len(clients)], p, a)
			}
		})
	}
	running.Wait()
	return outcomes
}

func sendRequest(ctx context.Context, client *mangorest.Client, p Plan, a Arrival) Outcome {
	o := Outcome{Arrival: a}
	body, err := json.Marshal(mangowire.Generate{
		Workspace: p.Workspace, Model: p.Model, Rank: a.Rank, Prompt: a.Prompt, MaxTokens: a.Answer,
	})
	if err != nil {
		return o
	}
	header := http.Header{mangowire.HeaderKey: {"Bearer " + p.Key}}
	sent := time.Now()
	resp, err := client.Open(ctx, mangomodel.StepRespond, http.MethodPost, mangowire.PathGenerate, header, body)
	if err != nil {
		o.Fault = mangowire.FaultBodyOf(mangomodel.AsFault(err, mangomodel.StepRespond))
		return o
	}
	defer resp.Body.Close()
	o.Status = resp.StatusCode
	o.read(resp, sent)
	return o
}

// read records the events of a response with status 200, or the fault in the
// body of any other response.
func (o *Outcome) read(resp *http.Response, sent time.Time) {
	lines := bufio.NewScanner(resp.Body)
	var first, last time.Time
	for lines.Scan() {
		if o.Status != http.StatusOK {
			// If the body is not a fault, only Status describes the failure.
			_ = json.Unmarshal(bytes.TrimSpace(lines.Bytes()), &o.Fault)
			return
		}
		var e mangowire.Event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			return
		}
		if e.Done || e.Fault != nil {
			o.recordEnd(e)
			break
		}
		last = time.Now()
		if first.IsZero() {
			first = last
			o.TTFT = first.Sub(sent)
		}
		o.recordToken(e)
	}
	if o.Tokens > 1 {
		o.TPOT = last.Sub(first) / time.Duration(o.Tokens-1)
	}
}

func (o *Outcome) recordToken(e mangowire.Event) {
	if e.Offset != o.Tokens || e.Text != mangoengine.Token(o.Arrival.Prompt, e.Offset) {
		o.Wrong = true
	}
	o.Tokens++
}

func (o *Outcome) recordEnd(e mangowire.Event) {
	if e.Fault != nil {
		o.Fault = *e.Fault
		return
	}
	o.Complete = true
	o.Wrong = o.Wrong || o.Tokens != o.Arrival.Answer
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func sortByTime(arrivals []Arrival) {
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
}
