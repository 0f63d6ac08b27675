package fault

import (
	"errors"
	"io"
	"net"
	"time"
)

const (
	queued    = 64       // deliveries on their way in one direction
	chunkSize = 16 << 10 // bytes of one delivery at most
)

// delivery is what one read returned. The end of the stream has no bytes.
type delivery struct {
	at    time.Time
	bytes []byte
	reset bool // the sender reset the connection
}

// reader notes when the bytes of one direction of a link arrive.
type reader struct {
	link  *link
	from  *net.TCPConn
	queue chan<- delivery
}

func (r *reader) loop() {
	defer close(r.queue)
	for {
		chunk := make([]byte, chunkSize)
		n, err := r.from.Read(chunk)
		if n > 0 && !r.enqueue(delivery{at: time.Now(), bytes: chunk[:n]}) {
			return
		}
		if err != nil {
			// Neither an end nor a reset crosses a partition, so both are
			// delivered like bytes.
			r.enqueue(delivery{at: time.Now(), reset: !errors.Is(err, io.EOF)})
			return
		}
	}
}

func (r *reader) enqueue(d delivery) bool {
	select {
	case r.queue <- d:
		return true
	case <-r.link.broken:
		return false
	}
}
