package main

import (
	"context"
	"flag"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/zeromicro/go-zero/rest"

	"mangolane/core/mangomodel"
	"mangolane/core/mangorest"
	"mangolane/mangostand/mangoengine"
	"mangolane/mangostand/mangohttp"
	"mangolane/mangostand/mangoservice"
	"mangolane/mangostand/mangostore"
)

// shutdownTimeout bounds the shutdown of a stand-in.
const shutdownTimeout = 2 * time.Second

func engineCommand() *ffcli.Command {
	flags := flag.NewFlagSet("engine", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:8001", "address to listen on")
	id := flags.String("id", "engine", "name of the server")
	profile := mangoengine.DefaultProfile()
	build := flags.String("build", "", "version of the software")
	slots := flags.Int("slots", int(profile.Slots), "requests that can be decoded at once")
	rate := flags.Float64("prefill-rate", float64(profile.PrefillRate), "prefilled tokens per second")
	return &ffcli.Command{Name: "engine", FlagSet: flags, ShortHelp: "run an emulated model engine",
		Exec: func(ctx context.Context, _ []string) error {
			profile.Build = mangomodel.Build(*build)
			profile.Slots = mangomodel.Slots(*slots)
			profile.PrefillRate = mangomodel.TokensPerSecond(*rate)
			engine := mangoengine.New(mangomodel.ServerID(*id), profile)
			return serve(ctx, *listen, engine, mangohttp.NewEngine(engine).Routes())
		}}
}

func serviceCommand() *ffcli.Command {
	flags := flag.NewFlagSet("service", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:8101", "address to listen on")
	paths := flags.String("paths", "/retire,/lookup", "paths of the calls")
	return &ffcli.Command{Name: "service", FlagSet: flags, ShortHelp: "run an emulated plain service",
		Exec: func(ctx context.Context, _ []string) error {
			recorder := mangoservice.NewRecorder()
			return serve(ctx, *listen, recorder, mangohttp.NewService(recorder, strings.Split(*paths, ",")).Routes())
		}}
}

func platformCommand() *ffcli.Command {
	flags := flag.NewFlagSet("platform", flag.ExitOnError)
	listen := flags.String("listen", "127.0.0.1:7900", "address to listen on")
	latency := flags.Duration("latency", 2*time.Millisecond, "duration of each exchange")
	return &ffcli.Command{Name: "platform", FlagSet: flags, ShortHelp: "run an emulated platform",
		Exec: func(ctx context.Context, _ []string) error {
			store := mangostore.New(mangostore.WithLatency(*latency))
			return serve(ctx, *listen, store, mangohttp.NewPlatform(store).Routes())
		}}
}

// runner is a stand-in that processes requests until ctx ends.
type runner interface{ Run(ctx context.Context) }

// serve runs a stand-in and its HTTP server until ctx ends.
func serve(ctx context.Context, addr string, r runner, routes []rest.Route) error {
	server, err := mangorest.NewServer("mangostand", mangomodel.Address(addr), routes)
	if err != nil {
		return err
	}
	go r.Run(ctx)
	go server.Serve()
	<-ctx.Done()
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return server.Shutdown(shutdown)
}
