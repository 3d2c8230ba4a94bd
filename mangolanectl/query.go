package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"net/url"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"mangolane/core/mangomodel"
	"mangolane/core/mangowire"
	"mangolane/mangolanectl/mangoexplain"
)

// queries returns the verbs that only read.
func queries(o *options) []*ffcli.Command {
	flags := flag.NewFlagSet("traces", flag.ContinueOnError)
	trace := flags.String("trace", "", "only the spans of this trace")
	return []*ffcli.Command{
		show(o, "status", "show members, shards and grants", mangowire.PathStatus),
		show(o, "configuration", "show the active documents", mangowire.PathConfiguration),
		show(o, "metrics", "show counters and latencies", mangowire.PathMetrics),
		{Name: "traces", FlagSet: flags, ShortHelp: "show recorded spans",
			Exec: func(ctx context.Context, _ []string) error {
				return o.client().Show(ctx, mangowire.PathTraces+"?Trace="+url.QueryEscape(*trace), os.Stdout)
			}},
		explain(),
		{Name: "key-hash", ShortUsage: "key-hash KEY", ShortHelp: "print the hash to configure for a key", Exec: keyHash},
	}
}

func show(o *options, name, help, path string) *ffcli.Command {
	return &ffcli.Command{Name: name, ShortHelp: help, Exec: func(ctx context.Context, _ []string) error {
		return o.client().Show(ctx, path, os.Stdout)
	}}
}

// explain returns the verb that traces a request through the logs on standard
// input.
func explain() *ffcli.Command {
	flags := flag.NewFlagSet("explain", flag.ContinueOnError)
	asJSON := flags.Bool("json", false, "write JSON for programs")
	return &ffcli.Command{
		Name: "explain", FlagSet: flags, ShortUsage: "explain [-json] REQUEST-ID <LOGS",
		ShortHelp: "explain a request's outcome from the logs of daemons",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return mangomodel.Errors.New("exactly one request id is needed")
			}
			report, err := mangoexplain.Read(os.Stdin, mangomodel.RequestID(args[0]))
			if err != nil {
				return err
			}
			if *asJSON {
				return mangoexplain.WriteJSON(os.Stdout, report)
			}
			return mangoexplain.WriteText(os.Stdout, report)
		},
	}
}

func keyHash(_ context.Context, args []string) error {
	if len(args) != 1 {
		return mangomodel.Errors.New("exactly one key is needed")
	}
	sum := sha256.Sum256([]byte(args[0]))
	fmt.Println(hex.EncodeToString(sum[:]))
	return nil
}
