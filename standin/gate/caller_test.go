package gate_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/teaselstack/teaselstack/platform"
	"github.com/teaselstack/teaselstack/standin/server"
)

// runCaller acts as one caller until ctx is done: for each request it looks up
// an entry, sends the request once and checks the response.
func (d *deployment) runCaller(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	client := &http.Client{
		Timeout: 4 * time.Second,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 2,
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		},
	}
	defer client.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		address := d.lookUp(client, random)
		if address != "" {
			d.sendRequest(client, address, fmt.Sprintf("c%d-%d", seed, number), random)
		}
		sleep(ctx, time.Duration(random.IntN(int(40*time.Millisecond))))
	}
}

// sleep waits for the duration or until ctx is done.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// lookUp asks the entries in random order for the addresses of the service. It
// returns one of those in the first response that contains any, or "" if no response
// does.
func (d *deployment) lookUp(client *http.Client, random *rand.Rand) string {
	for _, index := range random.Perm(len(failureDomains)) {
		resp, err := client.Get("http://" + d.ipPrefix + fmt.Sprintf(".%d", 10+index) + ":8164/v1/resolve?name=desk.example&region=" + failureDomains[index].region + "&zone=" + failureDomains[index].name)
		if err != nil {
			continue
		}
		var resolution platform.LookupResponse
		err = json.NewDecoder(resp.Body).Decode(&resolution)
		resp.Body.Close()
		if err == nil && len(resolution.Addresses) > 0 {
			return resolution.Addresses[random.IntN(len(resolution.Addresses))]
		}
	}
	return ""
}

// sendRequest sends one request to an entry, to the safe route browse or the unsafe
// route book, and checks the response. A request without a response counts only as
// sent.
func (d *deployment) sendRequest(client *http.Client, address, id string, random *rand.Rand) {
	method, path := http.MethodGet, "/browse/"
	if random.IntN(2) == 0 {
		method, path = http.MethodPost, "/book/"
	}
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader("offer"))
	if err != nil {
		d.recordViolation("request %s: %v", id, err)
		return
	}
	request.Host = "desk.example"
	request.Header.Set(platform.HeaderNames.RequestID, id)
	request.Header.Set(platform.HeaderNames.DeadlineMS, "4000")
	request.AddCookie(&http.Cookie{
		Name:  platform.HeaderNames.ObjectCookie,
		Value: fmt.Sprint(random.IntN(30)),
	})
	d.sent.Add(1)
	resp, err := client.Do(request)
	if err != nil {
		return
	}
	content, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusOK && err == nil && (string(content) != server.ResponseBody(id) || resp.Header.Get(platform.HeaderNames.ResponseStamp) == ""):
		d.recordViolation("request %s got %q", id, content)
	case resp.StatusCode == http.StatusOK && err == nil:
		d.served.Add(1)
	case resp.StatusCode == http.StatusNotFound:
		d.recordViolation("request %s was answered with 404 although its route exists", id)
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		d.mu.Lock()
		d.refused = append(d.refused, id)
		d.mu.Unlock()
	}
	if method == http.MethodPost && d.recorder.Runs(id) > 1 {
		d.recordViolation("request %s ran %d times", id, d.recorder.Runs(id))
	}
}

// runPipeliningCaller is like runCaller, but sends several requests at once on each
// connection, and makes a new connection after that.
func (d *deployment) runPipeliningCaller(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	client := &http.Client{
		Timeout: 4 * time.Second,
	}
	defer client.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		if address := d.lookUp(client, random); address != "" {
			d.sendPipelined(address, fmt.Sprintf("p%d-%d", seed, number), random)
		}
		sleep(ctx, time.Duration(random.IntN(int(80*time.Millisecond))))
	}
}

// sendPipelined sends four requests to an entry at once, the third one to the unsafe route
// book, and checks the responses. Requests behind a response that closes the connection count
// as not sent.
func (d *deployment) sendPipelined(address, id string, random *rand.Rand) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(6 * time.Second)); err != nil {
		d.recordViolation("request %s: %v", id, err)
		return
	}
	var data strings.Builder
	paths := []string{"GET /browse/", "GET /browse/", "POST /book/", "GET /browse/"}
	for i, path := range paths {
		fmt.Fprintf(&data, "%s HTTP/1.1\r\nHost: desk.example\r\n%s: %s-%d\r\n%s: 4000\r\nCookie: %s=%d\r\nContent-Length: 0\r\n\r\n",
			path, platform.HeaderNames.RequestID, id, i, platform.HeaderNames.DeadlineMS, platform.HeaderNames.ObjectCookie, random.IntN(30))
	}
	if _, err := io.WriteString(conn, data.String()); err != nil {
		return
	}
	d.sent.Add(int64(len(paths)))
	reader := bufio.NewReader(conn)
	for i := range paths {
		requestID := fmt.Sprintf("%s-%d", id, i)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		content, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		switch {
		case resp.StatusCode == http.StatusOK && err == nil && (string(content) != server.ResponseBody(requestID) || resp.Header.Get(platform.HeaderNames.ResponseStamp) == ""):
			d.recordViolation("request %s got %q", requestID, content)
		case resp.StatusCode == http.StatusOK && err == nil:
			d.served.Add(1)
		case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
			d.mu.Lock()
			d.refused = append(d.refused, requestID)
			d.mu.Unlock()
		}
		if d.recorder.Runs(requestID) > 1 && i == 2 {
			d.recordViolation("request %s ran %d times", requestID, d.recorder.Runs(requestID))
		}
		if resp.Close {
			d.sent.Add(int64(i + 1 - len(paths)))
			return
		}
	}
}
