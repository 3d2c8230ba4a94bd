// Mangolanectl is the operators' command line.
//
// # Usage
//
//	mangolanectl [-admin ADDRESS[,ADDRESS...]] [-key KEY] [-timeout DURATION] command publish FILE...
//	mangolanectl command join HOST
//	mangolanectl command leave HOST
//	mangolanectl command stop
//	mangolanectl query status|configuration|metrics
//	mangolanectl query traces [-trace ID]
//	mangolanectl query key-hash KEY
//	mangolanectl query explain [-json] REQUEST-ID <LOGS
//	mangolanectl config check FILE [-against FILE] [-grace DURATION] [-strict] [-json]
//
// The exit status is 1 after an error. That of "config check" is 1 for warnings with
// -strict, and 2 for errors in the document or a file that cannot be read.
//
// Verbs under "command" change state and print at most a revision; verbs under
// "query" only read; so do those under "config", without a daemon. The addresses are tried in order until one is available;
// stop is sent only to the first one. Flags may also be given as environment
// variables, such as MANGOLANECTL_KEY.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
	"mangolane/mangolanectl/mangoclient"
	"mangolane/mangolanectl/mangoreport"
)

// defaultTimeout bounds one invocation of the command.
const defaultTimeout = 30 * time.Second

func main() {
	mangorest.DisableFrameworkLog()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := run(ctx, os.Args[1:])
	if status := exitStatus(err); status != 0 {
		fmt.Fprintln(os.Stderr, "mangolanectl:", err)
		os.Exit(status)
	}
}

// exitStatus returns the exit status of the process after an error.
func exitStatus(err error) int {
	var check *mangoreport.Error
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return 0
	case errors.As(err, &check):
		return int(check.Status)
	default:
		return 1
	}
}

// options holds the flags that all verbs share.
type options struct {
	admin   string
	key     string
	timeout time.Duration
}

// client returns a client of the daemons at the admin addresses.
func (o *options) client() *mangoclient.Client {
	var addrs []mangomodel.Address
	for _, a := range strings.Split(o.admin, ",") {
		addrs = append(addrs, mangomodel.Address(a))
	}
	return mangoclient.New(addrs, o.key)
}

func run(ctx context.Context, args []string) error {
	var o options
	flags := flag.NewFlagSet("mangolanectl", flag.ContinueOnError)
	flags.StringVar(&o.admin, "admin", "127.0.0.1:7101", "admin addresses of daemons, separated by commas")
	flags.StringVar(&o.key, "key", "", "the operators' key")
	flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "time limit of the invocation")
	root := &ffcli.Command{
		ShortUsage: "mangolanectl [flags] <command|query|config> <verb> [arguments]",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix("MANGOLANECTL")},
		Subcommands: []*ffcli.Command{
			{Name: "command", ShortHelp: "change configuration or state", Subcommands: commands(&o), Exec: help},
			{Name: "query", ShortHelp: "read configuration or state", Subcommands: queries(&o), Exec: help},
			{Name: "config", ShortHelp: "check files of the platform's users", Subcommands: configs(), Exec: help},
		},
		Exec: help,
	}
	if err := root.Parse(args); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	return root.Run(ctx)
}

func help(context.Context, []string) error { return flag.ErrHelp }
