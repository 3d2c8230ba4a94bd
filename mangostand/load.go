package main

import (
	"context"
	"flag"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"mangolane/core/mangomodel"
	"mangolane/mangostand/mangoload"
)

func loadCommand() *ffcli.Command {
	flags := flag.NewFlagSet("load", flag.ExitOnError)
	daemons := flags.String("fronts", "127.0.0.1:7001", "addresses of daemons, separated by commas")
	workspace := flags.String("workspace", "demo", "workspace")
	key := flags.String("key", "demo", "key of the workspace")
	model := flags.String("model", "summary-llm", "model")
	urgent := flags.Float64("urgent", 1, "urgent requests per second")
	basic := flags.Float64("basic", 1, "basic requests per second")
	prompt := flags.Int64("prompt", 500, "mean length of a prompt, in tokens")
	output := flags.Int64("answer", 50, "mean length of a response, in tokens")
	duration := flags.Duration("duration", 10*time.Second, "time during which requests are sent")
	seed := flags.Uint64("seed", 1, "seed of the arrivals")
	report := flags.String("report", "", "path of an HTML report to write")
	return &ffcli.Command{Name: "load", FlagSet: flags, ShortHelp: "send generation requests and report goodput and latencies",
		Exec: func(ctx context.Context, _ []string) error {
			plan := mangoload.Plan{
				Workspace: mangomodel.WorkspaceID(*workspace), Key: *key, Model: mangomodel.ModelID(*model),
				Rates:      [mangomodel.Ranks]float64{*urgent, *basic},
				MeanPrompt: mangomodel.Tokens(*prompt), MeanOutput: mangomodel.Tokens(*output),
				Duration: *duration, Seed: *seed,
			}
			for _, addr := range strings.Split(*daemons, ",") {
				plan.Daemons = append(plan.Daemons, mangomodel.Address(addr))
			}
			return mangoload.RunAndReport(ctx, plan, *report)
		}}
}
