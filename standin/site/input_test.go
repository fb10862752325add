package site_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// sendRaw sends raw bytes to the first entry, and returns all bytes that the entry
// sends until it closes the connection.
func (d *deployment) sendRaw(text string) string {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.Entries[0].CallersAddress)
	assert.NilError(d.t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, text)
	assert.NilError(d.t, err)
	answer, err := io.ReadAll(conn)
	assert.NilError(d.t, err)
	return string(answer)
}

// sendAndDisconnect sends raw bytes to the first entry and closes the connection
// without waiting for an answer.
func (d *deployment) sendAndDisconnect(text string) {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.Entries[0].CallersAddress)
	assert.NilError(d.t, err)
	_, err = io.WriteString(conn, text)
	assert.NilError(d.t, err)
	assert.NilError(d.t, conn.Close())
}

// TestBadInputIsRefusedAsNotRun checks that malformed, oversized and incomplete
// requests and look-ups are refused, and that none reaches a backend server.
func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	d := startDeployment(t, "kasikirjoitus")
	const versionAndHeaders = " HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n"
	lookup := "POST /teasel.v1.LookupService/Lookup" + versionAndHeaders + "Content-Type: application/json\r\n"
	withBody := func(head, body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	for name, test := range map[string]struct {
		sent string
		want string
	}{
		"oversized header": {
			sent: "GET /" + versionAndHeaders + "Teasel-Service: agent-desk\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n",
			want: "not-run: bad-request: the header is too large",
		},
		"unknown service": {
			sent: "GET /" + versionAndHeaders + "Teasel-Service: nothing\r\n\r\n",
			want: "not-run: unknown-service",
		},
		"key missing": {
			sent: withBody("POST /"+versionAndHeaders+"Teasel-Service: agent-desk\r\n", "offer"),
			want: "not-run: key-missing",
		},
		"slow sender": {
			sent: "PUT /" + versionAndHeaders + "Teasel-Service: agent-desk\r\nIdempotency-Key: slow\r\nTeasel-First-Send: true\r\nTeasel-Timeout-Ms: 200\r\nContent-Length: 100000\r\n\r\n",
			want: "not-run: ",
		},
		"look-up of an unknown service": {
			sent: withBody(lookup, `{"service":"nothing"}`),
			want: "not run: service",
		},
		"look-up of an unknown address": {
			sent: withBody(lookup, `{"service":"agent-desk","callerAddress":"nowhere"}`),
			want: "not run: \\\"nowhere\\\" is no IP address",
		},
		"malformed look-up": {
			sent: withBody(lookup, `{"service":`),
			want: "invalid_argument",
		},
	} {
		t.Run(name, func(t *testing.T) {
			answer := d.sendRaw(test.sent)
			assert.Assert(t, strings.Contains(answer, test.want), answer)
		})
	}
	d.sendAndDisconnect("PUT /?echo=half" + versionAndHeaders + "Teasel-Service: agent-desk\r\nIdempotency-Key: half\r\nContent-Length: 100000\r\n\r\nhalf")
	d.sendAndDisconnect("GET / HT")
	assert.Equal(t, d.fleet.Report().Requests, 0, "refused input reached a backend server")
	report := d.underLoad(1, func() {})
	checkPromises(t, report, report.CheckAllGivenOutcome(), report.CheckAllDone())
	assert.Equal(t, report.Backends.RunsByKey["slow"], 0)
}
