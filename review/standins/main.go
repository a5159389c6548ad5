// Command standins plays one case of the review: it starts the project's programs on loopback addresses
// with stand-ins for consumers, databases, the operator and the platform.
//
//	standins CASE FOLDER
//
// It ends with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not
// run. With TROUBLE=0 in its environment it leaves the disturbance out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	held     = 0
	broken   = 1
	notRun   = 2
	maxTime  = 110 * time.Second
	settle   = 30 * time.Second
	statusOf = "result: "
)

// scenario plays one case and reports whether its rule was broken.
type scenario func(rec *record, root string, trouble bool) (bool, error)

var scenarios = map[string]scenario{
	"leaving":  leavingReplica,
	"slow":     slowReplica,
	"late":     latePromote,
	"lost":     lostPrimary,
	"smuggled": smuggledRequest,
	"unread":   unreadableHeartbeat,
	"stutter":  stutteringDatabases,
	"refusals": stutteringRefusals,
	"linefeed": lineFeedInData,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		os.Exit(notRun)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	rec := newRecord()
	trouble := os.Getenv("TROUBLE") != "0"
	result := make(chan int, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				rec.say(statusOf+"the case could not run: %v", r)
				result <- notRun
			}
		}()
		isBroken, err := scenarios[os.Args[1]](rec, root, trouble)
		switch {
		case err != nil:
			rec.say(statusOf+"the case could not run: %v", err)
			result <- notRun
		case isBroken:
			rec.say(statusOf + "the rule was broken")
			result <- broken
		default:
			rec.say(statusOf + "the rule held")
			result <- held
		}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	code := notRun
	select {
	case code = <-result:
	case <-interrupted:
		rec.say(statusOf + "interrupted")
	case <-time.After(maxTime):
		rec.say(statusOf + "the time is over")
	}
	closeFleets()
	if err := rec.write(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = notRun
	}
	os.Exit(code)
}
