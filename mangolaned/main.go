// Mangolaned is the daemon that runs on every entry host. It routes
// generation requests to prefill and decode servers and application calls to
// plain services.
//
// # Usage
//
//	mangolaned -settings daemon.json [-check]
//
// It serves until SIGTERM, SIGINT or an operator's stop command, then drains: it
// refuses new requests, finishes the running ones and exits. With -check it only
// checks the settings.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3"

	"mangolane/core/mangorest"
	"mangolane/mangolaned/mangodaemon"
	"mangolane/mangolaned/mangolog"
	"mangolane/mangolaned/mangosettings"
)

func main() {
	if err := run(os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "mangolaned:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	ctx, stop := mangorest.StopContext(context.Background())
	defer stop()
	flags := flag.NewFlagSet("mangolaned", flag.ContinueOnError)
	path := flags.String("settings", "", "path of the settings, a JSON document")
	check := flags.Bool("check", false, "check the settings and exit")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("MANGOLANED")); err != nil {
		return err
	}
	settings, err := mangosettings.Read(*path)
	if err != nil || *check {
		return err
	}
	logger, err := mangolog.New(settings.LogLevel)
	if err != nil {
		return err
	}
	daemon, err := mangodaemon.New(settings, logger)
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}
