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
	return &ffcli.Command{Name: "worker", FlagSet: flags, ShortHelp: "run a backend server of the users' platform",
		Exec: func(ctx context.Context, _ []string) error {
			w := mangoworker.New(p, mangoworker.NewRecorder())
			if err := w.Start(*listen); err != nil {
				return err
			}
			defer w.Crash()
			return keepListed(ctx, w, mangomodel.Address(*tables))
		}}
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
