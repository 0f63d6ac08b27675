package cmds

import (
	"net"
	"net/netip"
)

// listen opens a listener on an IP address and port.
func listen(text string) (*net.TCPListener, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil, err
	}
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
}
