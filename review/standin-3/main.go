// Command standin-3 plays the platform, the operator, the clients and the backends of a small
// deployment on loopback addresses, for the scripts of the third review. It starts the
// project's programs with the commands of the deploy file.
//
//	standin-3 CASE FOLDER
//
// CASE is the name of a case, and FOLDER receives record.txt. The exit status is 1 if the rule
// was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment
// the disruption is left out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// playTime ends a run that hangs.
const playTime = 116 * time.Second

// play is one run of a case.
type play struct {
	ctx     context.Context
	trouble bool
	record  *record
	fleet   *fleet
}

// cases maps the name of a case to its function, which reports whether the rule was broken.
var cases = map[string]func(*play) (broken bool, err error){
	"names": playNames,
	"entry": playEntry,
	"crash": playCrash,
	"moved": playMoved,
	"start": playStart,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, playTime)
	defer cancel()
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	p := &play{ctx: ctx, trouble: os.Getenv("TROUBLE") != "0", record: r}
	broken, err := cases[args[0]](p)
	if p.fleet != nil {
		p.fleet.close()
	}
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		return exitFailed
	case ctx.Err() != nil:
		r.line("the case could not run: %v", ctx.Err())
		return exitFailed
	case broken:
		r.line("RULE BROKEN")
		return exitBroken
	default:
		r.line("rule held")
		return exitHeld
	}
}

// sleep waits and returns early when the play ends.
func (p *play) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}
