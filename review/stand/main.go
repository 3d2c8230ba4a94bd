// Stand runs the cases of the review and their stand-ins.
//
//	stand case NAME    # in the folder of the case; writes record.txt there
//	stand worker ...   # a backend server; cases start it
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(*site){
	"memory":   memoryCase,
	"unframed": unframedCase,
	"poison":   poisonCase,
	"drain":    drainCase,
}

func main() {
	if len(os.Args) < 3 {
		fatal(fmt.Errorf("usage: stand case NAME"))
	}
	switch os.Args[1] {
	case "worker":
		runWorker(os.Args[2:])
	case "case":
		run, ok := cases[os.Args[2]]
		if !ok {
			fatal(fmt.Errorf("no case %s", os.Args[2]))
		}
		s := newSite()
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
		go func() {
			<-ended
			s.finish(2, "ended from outside")
		}()
		run(s)
	}
}
