package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// clientDeadline is how long clients wait.
const clientDeadline = 2500 * time.Millisecond

// load sends requests to an entry at a rate until ctx is done. Their ids begin with a name.
func (d *deployment) load(ctx context.Context, e *entry, name, host, path string, perSecond float64) {
	client := &http.Client{
		Timeout: clientDeadline,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 64,
			DisableCompression:  true,
		},
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		id := fmt.Sprintf("%s-%d", name, number)
		group.Go(func() { d.send(client, e, id, host, path+strconv.Itoa(rand.IntN(100))) })
	}
}

// send sends one request and records how it ended.
func (d *deployment) send(client *http.Client, e *entry, id, host, path string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+e.ip+":8161"+path, nil)
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("X-Teaselstack-Request-Id", id)
	request.Header.Set("X-Teaselstack-Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	request.Header.Set("Cookie", "X-Teaselstack-Affinity-Key="+strconv.Itoa(rand.IntN(47)))
	end := "none"
	response, err := client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		end = strconv.Itoa(response.StatusCode)
	}
	if err != nil {
		end = "failed"
	}
	d.record.line("request %s sent to %s ended: %s", id, e.name, end)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[end]++
}
