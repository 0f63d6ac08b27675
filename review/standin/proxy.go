package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// forwarder is a proxy in front of one port of a machine. It can hold all bytes
// between the machine and some others, in both directions.
type forwarder struct {
	listener net.Listener
	to       string

	mu   sync.Mutex
	held map[string]bool // by the address of the other machine
	wake chan struct{}   // closed when held changes
}

// startForwarder forwards connections on one port of an address to another one.
func startForwarder(ip string, from, to int) (*forwarder, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, from))
	if err != nil {
		return nil, err
	}
	p := &forwarder{listener: l, to: fmt.Sprintf("%s:%d", ip, to), held: map[string]bool{}, wake: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

func (p *forwarder) hold(ip string, held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[ip] = held
	close(p.wake)
	p.wake = make(chan struct{})
}

// wait returns when nothing is held for an address.
func (p *forwarder) wait(ip string) {
	for {
		p.mu.Lock()
		held, wake := p.held[ip], p.wake
		p.mu.Unlock()
		if !held {
			return
		}
		<-wake
	}
}

func (p *forwarder) forward(c net.Conn) {
	defer c.Close()
	ip, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	p.wait(ip)
	// The other side sees the address that the connection comes from.
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}, Timeout: time.Second}
	o, err := d.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer o.Close()
	done := make(chan struct{}, 2)
	pass := func(dst, src net.Conn) {
		b := make([]byte, 32<<10)
		for {
			n, err := src.Read(b)
			p.wait(ip)
			if n > 0 {
				if _, werr := dst.Write(b[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				if err == io.EOF {
					if t, ok := dst.(*net.TCPConn); ok && strings.HasPrefix(ip, "127.") {
						_ = t.CloseWrite()
					}
				}
				break
			}
		}
		done <- struct{}{}
	}
	go pass(o, c)
	go pass(c, o)
	<-done
	<-done
}
