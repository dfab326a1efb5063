package testbed

import (
	"fmt"
	"net"
	"net/netip"
	"os"
)

// loopbackBlock is the second number of the loopback addresses of the first
// zone; each zone has the next. Fleets of different processes keep apart by it,
// because a port that is free now may be taken by another fleet in a moment.
var loopbackBlock = 20 + os.Getpid()%20*10

// fixedLoopbackBlock is that of a fleet whose addresses a person types.
const fixedLoopbackBlock = 20

// The third number of a loopback address says what has it.
const (
	storeNumber    = 1
	registryNumber = 2
	proxyNumber    = 3
	targetNumber   = 4
	operatorNumber = 8
	clientNumber   = 9
)

// roleNumbers are the third numbers of the daemons' addresses.
var roleNumbers = map[string]int{storeRole: storeNumber, registryRole: registryNumber, proxyRole: proxyNumber}

// loopbackAddress is the address of the nth of its kind in a zone. Port 0 chooses
// one that is free now.
func loopbackAddress(zone, number, n, port int) (string, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", loopbackBlock+zone, number, n+1)
	if port != 0 {
		return fmt.Sprintf("%s:%d", ip, port), nil
	}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// clientAddress is the IP address from which a zone's clients call.
func clientAddress(zone int) string {
	return fmt.Sprintf("127.%d.%d.1", loopbackBlock+zone, clientNumber)
}

// operatorAddress is the IP address from which operators call. No zone's clients
// share it, so that a partition of a zone doesn't touch them.
func operatorAddress() string { return fmt.Sprintf("127.%d.%d.1", loopbackBlock, operatorNumber) }

// ipOf is the IP address of an address with a port; anything else stays as it is.
func ipOf(address string) string {
	p, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return p.Addr().String()
}
