package cmds

import (
	"net"
	"net/netip"
)

// listen opens a TCP listener on an address of the form IP:PORT.
func listen(address string) (*net.TCPListener, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
}
