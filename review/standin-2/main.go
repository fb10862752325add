// Command standin-2 plays the cases of a review that can't be put as days of the users' bench. It
// starts the entry program on loopback addresses, with a store, backends and clients that keep
// to the users' pages. The arguments are the case and the file for the record. With TROUBLE=0 in
// the environment, it plays the case without its disruption. It exits with 1 if the rule was
// broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// scenario is a case. It returns a line for each break of the rule.
type scenario func(d *deployment, callers *clients, trouble bool) ([]string, error)

// scenarios holds the cases by name.
var scenarios = map[string]scenario{
	"lost-configuration": playLostConfiguration,
	"lost-leaving":       playLostLeaving,
	"escaped-path":       playEscapedPath,
	"early-answer":       playEarlyAnswer,
	"trailers":           playTrailers,
}

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// maxPrinted is the maximum number of breaks that are printed.
const maxPrinted = 8

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		return exitUnable
	}
	log := &record{
		began: time.Now(),
	}
	d, err := newDeployment(log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer d.close()
	callers := &clients{
		host:       clientHost,
		deployment: d,
		log:        log,
		idle:       make(map[string][]*clientConn),
		resolved:   make(map[string]resolved),
	}
	interrupted, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var breaks []string
	ended := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		defer close(ended)
		breaks, err = scenarios[args[0]](d, callers, os.Getenv("TROUBLE") != "0")
	})
	select {
	case <-ended:
	case <-interrupted.Done():
		fmt.Fprintln(os.Stderr, "interrupted")
		return exitUnable
	}
	if saveErr := log.save(args[1]); err == nil {
		err = saveErr
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	served := 0
	for _, each := range callers.attempts {
		if each.status == 200 {
			served++
		}
	}
	fmt.Printf("%d requests, %d answered with 200; the rule was broken %d times\n", len(callers.attempts), served, len(breaks))
	for _, each := range breaks[:min(len(breaks), maxPrinted)] {
		fmt.Println(" ", each)
	}
	if served*2 < len(callers.attempts) {
		fmt.Fprintln(os.Stderr, "less than half of the requests were served")
		return exitUnable
	}
	if len(breaks) > 0 {
		return exitBroken
	}
	return exitHeld
}

// Sizes of the services, those of the site sarki-lb.
const (
	deskBackends   = 22
	deskSlots      = 6
	intakeBackends = 12
	intakeSlots    = 3
	workTime       = 100 * time.Millisecond
)

// Services of the configurations.
const (
	desk   = "dele69a"
	intake = "xano55b"
)

// begin starts the backends and the entries with a configuration, and then the traffic, with rates
// per second.
func begin(ctx context.Context, d *deployment, callers *clients, reads, bookings float64) error {
	if err := startAll(d, configuration(3, "1200ms", desk)); err != nil {
		return err
	}
	callers.run(ctx, route{
		name:     "read",
		method:   "GET",
		path:     "/gono990/2f",
		deadline: 2500 * time.Millisecond,
		perS:     reads,
	})
	callers.run(ctx, route{
		name:     "book",
		method:   "POST",
		path:     "/bopu901/2f",
		deadline: 3 * time.Second,
		perS:     bookings,
	})
	return nil
}

// startAll starts the backends and the entries with a configuration.
func startAll(d *deployment, first []byte) error {
	if _, err := d.operator.write("config", first); err != nil {
		return err
	}
	for range deskBackends {
		if _, err := d.addBackend(desk, deskSlots, workTime); err != nil {
			return err
		}
	}
	for range intakeBackends {
		if _, err := d.addBackend(intake, intakeSlots, workTime); err != nil {
			return err
		}
	}
	if err := d.startEntries(); err != nil {
		return err
	}
	// The entries learn of each other.
	time.Sleep(2 * time.Second)
	return nil
}
