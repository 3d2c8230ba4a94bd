package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func stamp() string { return time.Now().Format("15:04:05.000") }

// current is the site of the case that runs.
var current *site

// fatal ends a case that cannot run, with all processes that it has started.
func fatal(err error) {
	fmt.Fprintln(os.Stderr, "review:", err)
	if current != nil {
		current.finish(2, "could not run: "+err.Error())
	}
	os.Exit(2)
}

// site holds what a case has started.
type site struct {
	dir, gateway string
	store        *store
	storeAddr    string
	trouble      bool

	// ending is taken by the first finish and never released.
	ending sync.Mutex

	mu     sync.Mutex
	record *os.File
	procs  map[*proc]bool
	port   int
}

// proc is a process that the case has started.
type proc struct {
	name string
	make func() *exec.Cmd
	// addr is where a server listens.
	addr string
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func newSite() *site {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fatal(err)
	}
	f, err := os.Create("record.txt")
	if err != nil {
		fatal(err)
	}
	gateway, err := filepath.Abs("../../target/platform")
	if err == nil {
		_, err = os.Stat(gateway)
	}
	if err != nil {
		fatal(err)
	}
	s := &site{dir: dir, gateway: gateway, store: newStore(), record: f, procs: map[*proc]bool{},
		trouble: os.Getenv("TROUBLE") != "0", port: 20000 + rand.IntN(11000)}
	current = s
	s.storeAddr = s.free()
	l, err := net.Listen("tcp", s.storeAddr)
	if err != nil {
		fatal(err)
	}
	go func() { _ = http.Serve(l, s.store) }()
	return s
}

// free returns a free loopback address below the ephemeral ports.
func (s *site) free() string {
	for range 3000 {
		s.port++
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(s.port))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	fatal(fmt.Errorf("no free port"))
	return ""
}

func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%s %s\n", stamp(), fmt.Sprintf(format, args...))
}

// start starts a process.
func (s *site) start(name string, mk func() *exec.Cmd) *proc {
	p := &proc{name: name, make: mk}
	p.run()
	s.mu.Lock()
	if s.procs == nil {
		s.mu.Unlock()
		p.kill()
		return p
	}
	s.procs[p] = true
	s.mu.Unlock()
	return p
}

func (p *proc) run() {
	cmd, done := p.make(), make(chan struct{})
	if err := cmd.Start(); err != nil {
		fatal(err)
	}
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
}

func (p *proc) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

func (p *proc) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// kill kills the process and waits for its end.
func (p *proc) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// finish ends all processes, writes the verdict and exits.
func (s *site) finish(code int, verdict string) {
	s.ending.Lock()
	s.note("verdict: %s", verdict)
	fmt.Println(verdict)
	s.mu.Lock()
	list := s.procs
	s.procs = nil
	s.mu.Unlock()
	for p := range list {
		p.kill()
	}
	s.appendServers()
	_ = os.RemoveAll(s.dir)
	os.Exit(code)
}

// appendServers adds to the record what the servers have run.
func (s *site) appendServers() {
	files, _ := filepath.Glob(filepath.Join(s.dir, "*.runs"))
	for _, f := range files {
		data, _ := os.ReadFile(f)
		_, _ = s.record.Write(data)
	}
}

// serverRuns returns the lines that the servers have written.
func (s *site) serverRuns() []string {
	var lines []string
	files, _ := filepath.Glob(filepath.Join(s.dir, "*.runs"))
	for _, f := range files {
		data, _ := os.ReadFile(f)
		lines = append(lines, strings.Split(strings.TrimSpace(string(data)), "\n")...)
	}
	return lines
}

// server starts a backend server and lists it.
func (s *site) server(id, service, stage, zone string, slots int, flags ...string) *proc {
	addr := s.free()
	self, err := os.Executable()
	if err != nil {
		fatal(err)
	}
	args := append([]string{"worker", "-id", id, "-listen", addr, "-stage", stage, "-slots", strconv.Itoa(slots),
		"-record", filepath.Join(s.dir, id+".runs")}, flags...)
	p := s.start(id, func() *exec.Cmd { return exec.Command(self, args...) })
	p.addr = addr
	s.awaitPort(addr)
	s.list(id, service, stage, zone, addr, slots)
	return p
}

// list writes the entry of a server that has just started.
func (s *site) list(id, service, stage, zone, addr string, slots int) {
	entry := map[string]any{"service": service, "address": addr, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
		"cold-remaining-ms": 0, "sequence": 1, "born": time.Now().UnixMilli()}
	if stage != "" {
		entry["stage"], entry["models"] = stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	s.store.put("servers", id, entry)
}

func (s *site) awaitPort(addr string) {
	for range 400 {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	fatal(fmt.Errorf("nothing listens at %s", addr))
}

// gate is a daemon of the project.
type gate struct {
	*proc
	name, front, ready string
	pages              string
}

// gates starts daemons with the run command and the template of the deploy file, as
// rendered for a front machine of kaska-log.
func (s *site) gates(names ...string) []*gate {
	return s.gatesOver(func(string) string { return s.storeAddr }, names...)
}

// gatesOver starts daemons that reach the store at an address of their own each.
func (s *site) gatesOver(store func(name string) string, names ...string) []*gate {
	type addrs struct{ front, ready, peer, metrics string }
	all := make([]addrs, len(names))
	var seeds []string
	for i := range names {
		all[i] = addrs{s.free(), s.free(), s.free(), s.free()}
		if len(seeds) < 3 {
			seeds = append(seeds, all[i].peer)
		}
	}
	var list []*gate
	for i, name := range names {
		doc := map[string]any{
			"Daemon": name, "DataCentre": "almaty-a", "Regions": map[string]string{"almaty-a": "almaty", "almaty-b": "almaty"},
			"Front": all[i].front, "Readiness": all[i].ready, "Peer": all[i].peer, "Seeds": seeds, "Metrics": all[i].metrics,
			"Platform": store(name), "GracePeriod": "8s", "RetryRatio": 0.2, "RetryFixed": 52, "RetryWindow": "10s",
			"OrderLease": "3000ms", "Cores": 1, "CoreShare": 0.4, "LinkRate": 1000.0, "MemoryLimit": memoryLimit,
		}
		data, err := json.Marshal(doc)
		if err != nil {
			fatal(err)
		}
		path := filepath.Join(s.dir, name+".json")
		if err := os.WriteFile(path, data, 0o644); err != nil {
			fatal(err)
		}
		log, err := os.Create(filepath.Join(s.dir, name+".log"))
		if err != nil {
			fatal(err)
		}
		p := s.start(name, func() *exec.Cmd {
			cmd := exec.Command(s.gateway)
			cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "MANGOLANE_CONFIG=" + path}
			cmd.Stdout, cmd.Stderr = log, log
			return cmd
		})
		list = append(list, &gate{proc: p, name: name, front: all[i].front, ready: all[i].ready})
	}
	for _, g := range list {
		s.awaitReady(g)
	}
	return list
}

func (s *site) isReady(g *gate) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + g.ready + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *site) awaitReady(g *gate) {
	for range 200 {
		if s.isReady(g) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	fatal(fmt.Errorf("%s does not get ready", g.name))
}

// memoryLimit is memory-mb of the site in bytes.
const memoryLimit = 134_000_000

// configure writes the manifest: routes, services and limits as on kaska-log.
func (s *site) configure(version int, extra ...map[string]any) {
	routes := []map[string]any{
		{"name": "audit", "host": "hats.example", "prefix": "/audit/", "kind": "streaming", "service": "summary-llm", "timeout-ms": 14000,
			"target-latency-ms": 800, "gap-aim-ms": 300, "priority": 0, "max-attempts": 2, "resumable": true, "sticky": true},
		{"name": "basic", "host": "hats.example", "prefix": "/basic/", "kind": "streaming", "service": "summary-llm", "timeout-ms": 14000,
			"target-latency-ms": 2000, "gap-aim-ms": 300, "priority": 2, "max-attempts": 1, "resumable": false, "sticky": true},
		{"name": "retire", "host": "hats.example", "prefix": "/retire/", "kind": "non_idempotent", "service": "expiry-app", "timeout-ms": 800,
			"target-latency-ms": 150, "priority": 2, "max-attempts": 1},
		{"name": "lookup", "host": "hats.example", "prefix": "/lookup/", "kind": "idempotent", "service": "expiry-app", "timeout-ms": 800,
			"target-latency-ms": 150, "priority": 2, "max-attempts": 2},
	}
	s.store.put("op", "config", map[string]any{
		"version": version, "routes": append(routes, extra...),
		"services": []map[string]any{
			{"name": "expiry-app", "health-check": "/healthz", "max-connections": 96, "protocol": "h1", "tls": false},
			{"name": "summary-llm", "health-check": "/healthz", "max-connections": 150, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 12, "kv-tokens": 85406, "kv-bytes": 131072, "link-mbps": 2800000.0, "moves": true, "backups": true,
					"stride": 72, "most": 12, "handle-ttl-s": 0.5, "switch-s": 6.0, "pin-ms": 4000.0, "hold-ms": 2000.0, "models": []any{map[string]any{"name": "m"}}}},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}
