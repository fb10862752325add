package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// rootRoute is a route of safe requests for all paths of a host.
const rootRoute = `{"name":"browse","prefix":"/","kind":"safe","timeout":"1500ms","goal":"300ms",
"priority":2,"service":"desk","attempts":2,"sticky":true,"home_regions":[]}`

// runPath sends requests with unusual paths and checks UNASKED. With trouble, the paths begin with two
// slashes, else with one.
func runPath(d *deployment) (broken bool, err error) {
	d.domains["bud-a"] = "eu-central"
	if err := d.startPlatform(); err != nil {
		return false, err
	}
	d.publish(rootRoute)
	var mu sync.Mutex
	targets := make(map[string]string)
	err = d.startBackend("bud-a", func(b *backend) {
		b.work = 5 * time.Millisecond
		b.onRun = func(r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			targets[r.Header.Get("X-Teaselstack-Request-Id")] = r.RequestURI
		}
	})
	if err != nil {
		return false, err
	}
	if err := d.startEntry("front-bud-a-1", "bud-a", 10); err != nil {
		return false, err
	}
	lead := "/"
	if d.trouble {
		lead = "//"
	}
	for number, rest := range []string{"reports/1", "reports%2F1", "reports|all/1", "reports|all%2F1", "reports/{id}%2Fraw?x=a|b"} {
		id := fmt.Sprintf("path-%d", number)
		target := lead + rest
		status, err := sendTarget(d.entries[0], id, target)
		if err != nil {
			return false, err
		}
		mu.Lock()
		got, ran := targets[id]
		mu.Unlock()
		d.record.line("request %s for %s ended: %s; the backend ran: %q", id, target, status, got)
		broken = broken || ran && got != target
	}
	return broken, nil
}

// sendTarget sends a request with a target, byte for byte, and returns the status.
func sendTarget(e *entry, id, target string) (status string, err error) {
	conn, err := net.Dial("tcp4", e.ip+":8161")
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(clientDeadline)); err != nil {
		return "", err
	}
	lines := []string{
		"GET " + target + " HTTP/1.1", "Host: desk.example", "X-Teaselstack-Request-Id: " + id,
		fmt.Sprintf("X-Teaselstack-Deadline-Ms: %d", clientDeadline.Milliseconds()), "Connection: close", "", "",
	}
	if _, err := io.WriteString(conn, strings.Join(lines, "\r\n")); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	return response.Status, nil
}
