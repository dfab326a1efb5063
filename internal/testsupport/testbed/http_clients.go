package testbed

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// dialTimeout bounds dialing, which hangs during a partition.
	dialTimeout = time.Second
	// idleConnectionTimeout is the time after which idle connections of stand-ins are closed.
	idleConnectionTimeout = 5 * time.Second
	maxIdleConnections    = 64
)

// httpClients holds the HTTP clients that stand-ins share, by IP address and timeout.
// Connections originate from that address, so that partitions and latency apply to them.
var httpClients = struct {
	sync.Mutex
	byKey map[string]*http.Client
}{byKey: map[string]*http.Client{}}

// clientFrom returns the HTTP client of an IP address with the given request timeout.
func clientFrom(ip string, timeout time.Duration) *http.Client {
	httpClients.Lock()
	defer httpClients.Unlock()
	key := fmt.Sprint(ip, timeout)
	if httpClients.byKey[key] == nil {
		httpClients.byKey[key] = &http.Client{Timeout: timeout, Transport: &http.Transport{
			DialContext:         dialerFrom(ip).DialContext,
			MaxIdleConnsPerHost: maxIdleConnections, IdleConnTimeout: idleConnectionTimeout, DisableCompression: true,
		}}
	}
	return httpClients.byKey[key]
}

// dialerFrom returns a dialer whose connections originate from an IP address.
func dialerFrom(ip string) *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
}
