package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/standin"
	"crocusseam/service/api"
)

const (
	floodLookups    = 300 // of each client
	floodStoreDelay = "500ms"
)

// Guards against an instance that clients end by requests for the answers of unknown ids, or by cancellations of them, while the
// platform is slow. They leave before the answer.
func TestFloodOfLookups(t *testing.T) {
	start, platform := startFloodPlatform(t)
	for i, method := range []string{http.MethodGet, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			var a addresses
			cmd := start(&a, fmt.Sprint("east-", i))
			setPlatformDelay(t, platform, floodStoreDelay)
			var group errgroup.Group
			for k := range floodConnections {
				group.Go(func() error {
					for n := range floodLookups {
						leaveAfter(a.Callers, fmt.Sprintf("%s %s/capstone/unknown%d-%d HTTP/1.1\r\nHost: x\r\n\r\n", method, api.PathSubmissions, k, n))
					}
					return nil
				})
			}
			assert.NilError(t, group.Wait())
			setPlatformDelay(t, platform, "0s")
			checkFlooded(t, cmd, a.Callers)
			_ = cmd.Process.Kill()
			_, _ = cmd.Process.Wait()
		})
	}
}

// leaveAfter sends a request and resets the connection soon after.
func leaveAfter(address netip.AddrPort, request string) {
	c, err := net.DialTimeout("tcp", address.String(), 5*time.Second)
	if err != nil {
		return // the instance may refuse connections
	}
	_, _ = c.Write([]byte(request))
	time.Sleep(2 * time.Millisecond) // for the instance to read it
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func setPlatformDelay(t *testing.T, platform netip.AddrPort, delay string) {
	t.Helper()
	response, err := http.Post("http://"+platform.String()+standin.PathControl, "application/json", bytes.NewBufferString(`{"SlowBy":"`+delay+`"}`))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	_ = response.Body.Close()
}
