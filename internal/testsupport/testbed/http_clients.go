package testbed

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// dialTimeout bounds a connection within this machine; a partition makes it hang.
	dialTimeout = time.Second
	// idleConnectionTimeout closes a stand-in's unused connections.
	idleConnectionTimeout = 5 * time.Second
	maxIdleConnections    = 64
)

// httpClients are shared by the stand-ins of one IP address. Their connections
// come from that address, so that partitions and delays apply to them.
var httpClients = struct {
	sync.Mutex
	byKey map[string]*http.Client
}{byKey: map[string]*http.Client{}}

// clientFrom returns the client of an IP address with a time-out for whole requests.
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

// dialerFrom dials from an IP address.
func dialerFrom(ip string) *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
}
