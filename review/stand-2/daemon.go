package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// program is what the deploy file's build makes, relative to the root of the repository.
const program = "target/platform"

// machine is what the settings say of a machine.
type machine struct {
	// memory is in MB, and link in Mbit/s.
	memory    int64
	coreShare float64
	link      int
}

var (
	// usual is the machine of kaska-log.
	usual = machine{memory: 134, coreShare: 0.4, link: 1000}
	// small is the smallest machine of rtveli-rounds-grown.
	small = machine{memory: 112, coreShare: 0.192, link: 10}
)

// daemon is one process of the system.
type daemon struct {
	name, front, ready, peer, metrics string
	settings                          string
	rec                               *record
	// logRate is how fast what the process writes is read, in bytes a second; zero means at
	// once.
	logRate float64
	// logged counts the bytes that the process has written and that were read.
	logged atomic.Int64

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	started time.Time
}

// freeAddresses returns addresses that differ and that nobody uses.
func freeAddresses(n int) []string {
	var list []string
	for range n {
		l := listen()
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list
}

// newDaemons returns daemons with the settings that the template of the deploy file gives
// them on machines of a kind, with the bounds of kaska-log.
func newDaemons(s *store, rec *record, m machine, zones []string) []*daemon {
	dir, err := os.MkdirTemp("", "reviewstand2")
	if err != nil {
		cannot("temporary folder: %v", err)
	}
	atEnd(func() { _ = os.RemoveAll(dir) })
	var list []*daemon
	var seeds []string
	regions := map[string]string{}
	free := freeAddresses(4 * len(zones))
	for i, zone := range zones {
		own := free[4*i:]
		d := &daemon{
			name: "front-" + zone + "-" + strconv.Itoa(i+1), front: own[0], ready: own[1], peer: own[2], metrics: own[3], rec: rec,
		}
		list = append(list, d)
		regions[zone] = "region"
		if len(seeds) < 3 {
			seeds = append(seeds, d.peer)
		}
	}
	for i, d := range list {
		text, _ := json.Marshal(map[string]any{
			"Daemon": d.name, "DataCentre": zones[i], "Regions": regions, "Front": d.front, "Readiness": d.ready, "Peer": d.peer,
			"Seeds": seeds, "Metrics": d.metrics, "Platform": s.addr, "GracePeriod": "8s", "RetryRatio": 0.2, "RetryFixed": 52,
			"RetryWindow": "10s", "DrainTime": "2500ms", "ConfigTime": "2500ms", "OrderLease": "3000ms", "Cores": 1, "CoreShare": m.coreShare,
			"LinkRate": m.link, "MemoryLimit": m.memory * 1000000,
		})
		d.settings = filepath.Join(dir, d.name+".json")
		if err := os.WriteFile(d.settings, text, 0o600); err != nil {
			cannot("settings: %v", err)
		}
	}
	return list
}

// start starts the process as the deploy file says.
func (d *daemon) start() {
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MANGOLANE_CONFIG=" + d.settings}
	out, err := cmd.StdoutPipe()
	if err != nil {
		cannot("pipe: %v", err)
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		cannot("start of %s: %v (run the build of the deploy file first)", program, err)
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.ended, d.started = cmd, ended, time.Now()
	d.mu.Unlock()
	go func() {
		buffer, began, read := make([]byte, 16<<10), time.Now(), 0.0
		for {
			n, err := out.Read(buffer)
			d.logged.Add(int64(n))
			if err != nil {
				break
			}
			if d.logRate == 0 {
				continue
			}
			// The reader does not make up for time in which there was nothing to read.
			if since := time.Since(began).Seconds(); read < since*d.logRate {
				read, began = 0, time.Now()
			}
			read += float64(n)
			time.Sleep(time.Duration(read/d.logRate*float64(time.Second)) - time.Since(began))
		}
		_ = cmd.Wait()
		close(ended)
	}()
	d.rec.say("%s: started", d.name)
	atEnd(func() { _ = cmd.Process.Kill(); <-ended })
}

// kill ends the process with SIGKILL.
func (d *daemon) kill() {
	d.mu.Lock()
	cmd, ended := d.cmd, d.ended
	d.mu.Unlock()
	_ = cmd.Process.Kill()
	<-ended
	d.rec.say("%s: killed", d.name)
}

// ranFor returns for how long the process has run.
func (d *daemon) ranFor() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.started)
}

// isReady asks the readiness address.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.ready + "/api/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *daemon) awaitReady() {
	for range 100 {
		if d.isReady() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	cannot("%s does not become ready", d.name)
}

// memory returns the resident memory of the process in bytes without that of mapped files,
// or zero if it has ended.
func (d *daemon) memory() int64 {
	d.mu.Lock()
	pid := d.cmd.Process.Pid
	d.mu.Unlock()
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// manifest returns a manifest like those of kaska-log, with one plain service.
func manifest(tenants []map[string]any) map[string]any {
	m := map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-retire", "host": "hats.example", "prefix": "/retire/", "kind": "non_idempotent", "timeout-ms": 800,
				"target-latency-ms": 150, "priority": 2, "service": "app", "max-attempts": 1, "public": false},
			{"name": "r-lookup", "host": "hats.example", "prefix": "/lookup/", "kind": "idempotent", "timeout-ms": 800,
				"target-latency-ms": 150, "priority": 2, "service": "app", "max-attempts": 2, "public": false},
		},
		"services": []map[string]any{{"name": "app", "health-check": "/healthz", "max-connections": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	if tenants != nil {
		m["tenants"] = tenants
	}
	return m
}

// call is one client attempt on a channel of its own.
type call struct {
	method, path, id, key, body string
}

// send sends a call to a daemon and returns the status, or 0 and why there is none.
func send(to string, c call) (int, http.Header, string) {
	conn, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return 0, nil, err.Error()
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, Dial: func(string, string) (net.Conn, error) { return conn, nil }}
	defer conn.Close()
	req, _ := http.NewRequest(c.method, "http://"+to+c.path, strings.NewReader(c.body))
	if c.body == "" {
		req.Body = http.NoBody
	}
	req.Host = "hats.example"
	req.Header.Set("Request-Id", c.id)
	req.Header.Set("Deadline-Ms", "1500")
	if c.key != "" {
		req.Header.Set("Authorization", "Token "+c.key)
	}
	client := http.Client{Transport: transport, Timeout: 2 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, err.Error()
	}
	return resp.StatusCode, resp.Header, strings.TrimSpace(string(data))
}
