// Package testbed plays a whole fleet on one machine: the real daemons as
// processes, stand-in targets and clients, faults, and a count of every
// promise kept or broken, judged from what the stand-ins saw.
package testbed

import (
	"fmt"
	"net"
	"os"
)

// loopbackBlock is where a fleet's loopback numbers begin. Fleets of different
// processes keep apart, as a port that is free now may be another's in a moment.
var loopbackBlock = 20 + os.Getpid()%20*10

// fixedLoopbackBlock is that of a fleet for a person to type.
const fixedLoopbackBlock = 20

// loopbackAddress gives an address of its own to each process. Port zero asks for
// any free one.
func loopbackAddress(zone, role, n, port int) (string, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", loopbackBlock+zone, role, n+1)
	if port != 0 {
		return fmt.Sprintf("%s:%d", ip, port), nil
	}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
