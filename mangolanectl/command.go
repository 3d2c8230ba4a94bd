package main

import (
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"mangolane/core/mangoconfig"
	"mangolane/core/mangomodel"
)

// commands returns the verbs that change configuration or state.
func commands(o *options) []*ffcli.Command {
	return []*ffcli.Command{
		{Name: "publish", ShortUsage: "publish FILE...", ShortHelp: "publish the changes in files, in order",
			Exec: func(ctx context.Context, files []string) error { return publishFiles(ctx, o, files) }},
		{Name: "join", ShortUsage: "join HOST", ShortHelp: "announce that a host takes new work",
			Exec: announce(o, mangomodel.ServerLive)},
		{Name: "leave", ShortUsage: "leave HOST", ShortHelp: "announce that a host leaves and takes no new work",
			Exec: announce(o, mangomodel.ServerLeaving)},
		{Name: "stop", ShortHelp: "begin a graceful shutdown of the daemon",
			Exec: func(ctx context.Context, _ []string) error { return o.client().Stop(ctx) }},
	}
}

func publishFiles(ctx context.Context, o *options, files []string) error {
	if len(files) == 0 {
		return mangomodel.Errors.New("publish needs at least one file")
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return mangomodel.Errors.Wrap(err)
		}
		change, err := mangoconfig.Decode[mangoconfig.Change](data)
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		if err := publish(ctx, o, change); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	return nil
}

func publish(ctx context.Context, o *options, change mangoconfig.Change) error {
	published, err := o.client().Publish(ctx, change)
	if err != nil {
		return err
	}
	fmt.Println(published.Revision)
	return nil
}

// announce returns a verb that publishes the document of a host again, with the
// given state.
func announce(o *options, state mangomodel.ServerState) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return mangomodel.Errors.New("exactly one host is needed")
		}
		cfg, err := o.client().Configuration(ctx)
		if err != nil {
			return err
		}
		for _, h := range cfg.Documents.Hosts {
			if h.Value.ID == mangomodel.HostID(args[0]) {
				h.Value.State = state
				return publish(ctx, o, mangoconfig.Change{Expect: h.Revision, Host: &h.Value})
			}
		}
		return mangomodel.Errors.New("host %q is not announced; publish its document first", args[0])
	}
}
