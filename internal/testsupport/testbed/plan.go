// Package testbed plays a whole fleet on one machine: the real daemons as
// processes, stand-in targets and consumers, faults, and a count of every
// promise kept or broken, judged from what the stand-ins saw.
package testbed

import (
	"fmt"
	"net"
	"os"
)

// block is where a fleet's loopback numbers begin. Fleets of different
// processes keep apart, as a port that is free now may be another's in a moment.
var block = 20 + os.Getpid()%20*10

// fixedBlock is that of a fleet for a person to type.
const fixedBlock = 20

// loopback gives an address of its own to each process. Port zero asks for
// any free one.
func loopback(cell, role, n, port int) (string, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", block+cell, role, n+1)
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
