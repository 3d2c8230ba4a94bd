// Reviewstand2 plays the cases of review/6 to review/10: a store, workers and clients as
// stand-ins, and the daemons of the deploy file as processes of their own.
//
//	reviewstand2 CASE FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held, and 2
// if the case could not run. With TROUBLE=0 the case runs without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// limit is the longest that a case may take.
const limit = 115 * time.Second

// trouble is false if the case runs without the disruption.
var trouble = os.Getenv("TROUBLE") != "0"

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*record) bool{}

var (
	endMu sync.Mutex
	ends  []func()
)

// atEnd adds a function that ends something that was started.
func atEnd(f func()) {
	endMu.Lock()
	defer endMu.Unlock()
	ends = append(ends, f)
}

func finish(code int) {
	endMu.Lock()
	for _, f := range ends {
		f()
	}
	os.Exit(code)
}

// cannot ends the program because the case cannot run.
func cannot(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	finish(2)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewstand2 CASE FOLDER")
		os.Exit(2)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-signals; finish(2) }()
	time.AfterFunc(limit, func() { cannot("the case takes longer than %v", limit) })
	r := &record{file: file, began: time.Now()}
	r.say("trouble: %v", trouble)
	broken := cases[os.Args[1]](r)
	r.say("broken: %v", broken)
	fmt.Println("broken:", broken)
	if broken {
		finish(1)
	}
	finish(0)
}
