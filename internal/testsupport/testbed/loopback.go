package testbed

import (
	"fmt"
	"net"
	"net/netip"
	"os"
)

// firstZoneOctet is the second octet of the first zone's loopback addresses; the octet
// increases by one for each further zone. It depends on the process id, because fleets
// of concurrent test processes would otherwise compete for the same ports.
var firstZoneOctet = 20 + os.Getpid()%20*10

// fixedFirstZoneOctet is the firstZoneOctet of a fleet with fixed addresses.
const fixedFirstZoneOctet = 20

// The third octet of a loopback address identifies the kind of its owner.
const (
	storeOctet    = 1
	registryOctet = 2
	proxyOctet    = 3
	targetOctet   = 4
	operatorOctet = 8
	clientOctet   = 9
)

// roleOctets holds the third octet of the daemons' addresses by role.
var roleOctets = map[string]int{storeRole: storeOctet, registryRole: registryOctet, proxyRole: proxyOctet}

// loopbackAddress returns the address of the nth daemon, target or client of its kind
// in a zone. If port is 0, it chooses a port that is currently free.
func loopbackAddress(zone, thirdOctet, n, port int) (string, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", firstZoneOctet+zone, thirdOctet, n+1)
	if port != 0 {
		return fmt.Sprintf("%s:%d", ip, port), nil
	}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// clientAddress returns the IP address of a zone's clients.
func clientAddress(zone int) string {
	return fmt.Sprintf("127.%d.%d.1", firstZoneOctet+zone, clientOctet)
}

// operatorAddress returns the IP address of operators. It differs from those of clients,
// so that the partition of a zone doesn't affect operators.
func operatorAddress() string { return fmt.Sprintf("127.%d.%d.1", firstZoneOctet, operatorOctet) }

// ipOf returns the IP address of an address with a port, and any other string unchanged.
func ipOf(address string) string {
	p, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return p.Addr().String()
}
