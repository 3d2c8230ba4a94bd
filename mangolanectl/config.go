package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"mangolane/core/mangocheck"
	"mangolane/core/mangomodel"
	"mangolane/mangolanectl/mangoreport"
)

// configs returns the verbs about files of the platform's users. They only read.
func configs() []*ffcli.Command {
	flags := flag.NewFlagSet("check", flag.ContinueOnError)
	o := checkOptions{flags: flags}
	flags.StringVar(&o.against, "against", "", "an earlier version, to list what differs from it")
	flags.DurationVar(&o.grace, "grace", 0, "grace period of the daemons, to compare timeouts with")
	flags.BoolVar(&o.strict, "strict", false, "end with status 1 if there are warnings")
	flags.BoolVar(&o.asJSON, "json", false, "write JSON for programs")
	return []*ffcli.Command{{
		Name: "check", FlagSet: flags, ShortUsage: "check FILE [-against FILE] [-grace DURATION] [-strict] [-json]",
		ShortHelp: "check the users' configuration document before it is sent",
		Exec: func(_ context.Context, args []string) error {
			status, err := o.check(args, os.Stdout)
			if err != nil {
				return &mangoreport.Error{Status: mangoreport.StatusErrors, Err: err}
			}
			if status != mangoreport.StatusOK {
				return &mangoreport.Error{Status: status}
			}
			return nil
		},
	}}
}

// checkOptions holds the flags of a check.
type checkOptions struct {
	flags          *flag.FlagSet
	against        string
	grace          time.Duration
	strict, asJSON bool
}

// check writes the report on a file. The flags may also follow the file.
func (o *checkOptions) check(args []string, w io.Writer) (mangoreport.Status, error) {
	if len(args) == 0 {
		return 0, mangomodel.Errors.New("a file is needed")
	}
	if err := o.flags.Parse(args[1:]); err != nil {
		return 0, mangomodel.Errors.Wrap(err)
	}
	if o.flags.NArg() > 0 {
		return 0, mangomodel.Errors.New("exactly one file is needed")
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return 0, mangomodel.Errors.Wrap(err)
	}
	var against []byte
	if o.against != "" {
		if against, err = os.ReadFile(o.against); err != nil {
			return 0, mangomodel.Errors.Wrap(err)
		}
	}
	report, err := mangoreport.New(data, against, mangocheck.WithGracePeriod(o.grace))
	if err != nil {
		return 0, fmt.Errorf("%s: %w", o.against, err)
	}
	write := report.WriteText
	if o.asJSON {
		write = report.WriteJSON
	}
	return report.Status(o.strict), write(w)
}
