// Mangostand runs emulations ("stand-ins") of the systems that mangolane serves
// and relies on: model engines, plain services and the platform. They implement
// mangolane's own interface or the protocol of the users' platform.
//
// # Usage
//
//	mangostand tables -listen 127.0.0.1:7910
//	mangostand worker -id d-1 -service llm -stage decode -zone a1 -listen 127.0.0.1:8201
//	mangostand put op config "$(cat config.json)"
//
//	mangostand platform -listen 127.0.0.1:7900
//	mangostand engine -listen 127.0.0.1:8001 -id p1
//	mangostand service -listen 127.0.0.1:8101 -paths /retire,/lookup
//	mangostand load -fronts 127.0.0.1:7001 -urgent 5 -basic 5 -duration 10s ...
//
// The servers run until SIGTERM or SIGINT.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"mangolane/core/mangorest"
)

func main() {
	mangorest.DisableFrameworkLog()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &ffcli.Command{
		ShortUsage:  "mangostand <tables|worker|put|engine|service|platform|load> [flags]",
		Subcommands: []*ffcli.Command{tablesCommand(), workerCommand(), putCommand(), engineCommand(), serviceCommand(), platformCommand(), loadCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "mangostand:", err)
		os.Exit(1)
	}
}
