package proxy

import (
	"comfreypulley/core/effect"
	"comfreypulley/core/event"
)

// connOpener opens a connection that no attempt has asked for.
type connOpener struct {
	client *Client
	pool   *pool
	effect effect.OpenConn
}

// run opens the connection, makes it available to attempts and reads from it until
// it is closed.
func (o *connOpener) run() {
	raw, err := o.client.dial(o.pool.addr, o.effect.Timeout)
	o.client.Post(event.ConnChecked{Upstream: o.effect.Upstream, Opened: err == nil})
	if err != nil {
		o.client.wg.Done()
		return
	}
	c := newConn(raw, o.client, o.pool)
	if !c.setIdle(o.effect.IdleTimeout) {
		c.terminate()
	} else {
		o.pool.put(c)
	}
	c.readLoop()
}
