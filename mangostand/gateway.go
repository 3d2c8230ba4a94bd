package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
	"mangolane/mangostand/mangotable"
	"mangolane/mangostand/mangoworker"
)

// listInterval is the pause between attempts to write a worker's entry until one
// succeeds. It is the heartbeat interval of the users' servers.
const listInterval = 1200 * time.Millisecond

func tablesCommand() *ffcli.Command {
	flags := flag.NewFlagSet("tables", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:7910", "address to listen on")
	return &ffcli.Command{Name: "tables", FlagSet: flags, ShortHelp: "run the store of the users' platform",
		Exec: func(ctx context.Context, _ []string) error { return serveTables(ctx, *listen) }}
}

func serveTables(ctx context.Context, listen string) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return mangomodel.Errors.Wrap(err)
	}
	server := &http.Server{Handler: mangotable.New()}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(l); ctx.Err() == nil {
		return mangomodel.Errors.Wrap(err)
	}
	return nil
}

func workerCommand() *ffcli.Command {
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:8201", "address to listen on")
	tables := flags.String("tables", "127.0.0.1:7910", "address of the store")
	var p mangoworker.Profile
	flags.StringVar(&p.ID, "id", "worker", "name of the server")
	flags.StringVar(&p.Service, "service", "app", "service that the server belongs to")
	flags.StringVar(&p.Stage, "stage", "", "stage of a model engine: prefill or decode")
	flags.StringVar(&p.Zone, "zone", "a1", "data centre")
	flags.IntVar(&p.Slots, "slots", 8, "maximum number of concurrent requests")
	b := behaviourFlags(flags)
	return &ffcli.Command{Name: "worker", FlagSet: flags, ShortHelp: "run a backend server of the users' platform",
		Exec: func(ctx context.Context, _ []string) error {
			w := mangoworker.New(p, mangoworker.NewRecorder())
			if err := w.Start(*listen); err != nil {
				return err
			}
			defer w.Crash()
			ctx, stop := context.WithCancel(ctx)
			defer stop()
			go b.run(ctx, w, stop)
			return keepListed(ctx, w, mangomodel.Address(*tables))
		}}
}

// behaviour is the faults of a worker and when it falls silent, refuses requests and
// leaves.
type behaviour struct {
	faults                                                                 mangoworker.Faults
	silence, silenceInterval, refuseAfter, refuseFor, leaveAfter, leaveFor time.Duration
}

func behaviourFlags(flags *flag.FlagSet) *behaviour {
	b := new(behaviour)
	flags.BoolVar(&b.faults.Unframed, "unframed", false, "send responses that end with their connection")
	flags.Float64Var((*float64)(&b.faults.Hang), "hang", 0, "share of requests that are never answered")
	flags.Float64Var((*float64)(&b.faults.CutWithin), "cut-within", 0, "share of streams that are reset within an event")
	flags.Float64Var((*float64)(&b.faults.CutBetween), "cut-between", 0, "share of streams that are reset between events")
	flags.DurationVar(&b.silence, "silence", time.Second, "how long the server sends nothing at a time")
	flags.DurationVar(&b.silenceInterval, "silence-interval", 0, "interval of silences, or zero for none")
	flags.DurationVar(&b.refuseAfter, "refuse-after", 0, "when the server asks for time, or zero for never")
	flags.DurationVar(&b.refuseFor, "refuse-for", 2*time.Second, "how long the server refuses requests")
	flags.DurationVar(&b.leaveAfter, "leave-after", 0, "when the server announces that it leaves, or zero for never")
	flags.DurationVar(&b.leaveFor, "leave-for", 5*time.Second, "how long the server serves after that")
	return b
}

// run applies the behaviour to a worker until ctx ends. It calls stop when the worker
// has left.
func (b *behaviour) run(ctx context.Context, w *mangoworker.Worker, stop func()) {
	w.SetFaults(b.faults)
	refuse, leave := after(b.refuseAfter), after(b.leaveAfter)
	var silences <-chan time.Time
	if b.silenceInterval > 0 {
		ticker := time.NewTicker(b.silenceInterval)
		defer ticker.Stop()
		silences = ticker.C
	}
	for {
		select {
		case <-silences:
			w.Silence(b.silence)
		case <-refuse:
			w.RefuseFor(b.refuseFor)
		case <-leave:
			w.AnnounceLeaving()
			time.AfterFunc(b.leaveFor, stop)
		case <-ctx.Done():
			return
		}
	}
}

// after returns a channel that fires after d, or never if d is zero.
func after(d time.Duration) <-chan time.Time {
	if d <= 0 {
		return nil
	}
	return time.After(d)
}

// keepListed retries the write of a worker's entry until the store accepts it,
// and deletes the entry when ctx ends.
func keepListed(ctx context.Context, w *mangoworker.Worker, tables mangomodel.Address) error {
	client := mangorest.NewClient("platform store", tables)
	path := "/stand/rows?" + url.Values{"table": {"servers"}, "key": {w.ID}}.Encode()
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for listed := false; ; {
		if !listed {
			entry := w.Entry("ready", w.Address())
			listed = client.Exchange(ctx, mangomodel.StepConfigure, http.MethodPut, path, entry, nil) == nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
			defer cancel()
			return client.Exchange(shutdown, mangomodel.StepConfigure, http.MethodDelete, path, nil, nil)
		}
	}
}

func putCommand() *ffcli.Command {
	flags := flag.NewFlagSet("put", flag.ExitOnError)
	tables := flags.String("tables", "127.0.0.1:7910", "address of the store")
	return &ffcli.Command{Name: "put", FlagSet: flags, ShortUsage: "put TABLE KEY JSON", ShortHelp: "write a row of the store, as an operator does",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 3 {
				return mangomodel.Errors.New("put expects 3 arguments: a table, a key and a JSON value")
			}
			var value bytes.Buffer
			if err := json.Compact(&value, []byte(args[2])); err != nil {
				return mangomodel.Errors.Wrap(err)
			}
			path := "/stand/rows?" + url.Values{"table": {args[0]}, "key": {args[1]}}.Encode()
			client := mangorest.NewClient("platform store", mangomodel.Address(*tables))
			return client.Exchange(ctx, mangomodel.StepConfigure, http.MethodPut, path, json.RawMessage(value.Bytes()), nil)
		}}
}
