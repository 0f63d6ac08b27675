package fault

import (
	"errors"
	"io"
	"net"
	"time"
)

const (
	queueLength = 64       // chunks of one direction
	chunkSize   = 16 << 10 // largest chunk in bytes
)

// chunk is the result of one read. One without bytes is the end of the stream.
type chunk struct {
	receivedAt time.Time
	bytes      []byte
	reset      bool // the sender reset the connection
}

// reader reads one direction of a connection and queues what arrives.
type reader struct {
	conn  *connection
	from  *net.TCPConn
	queue chan<- chunk
}

func (r *reader) loop() {
	defer close(r.queue)
	for {
		buffer := make([]byte, chunkSize)
		n, err := r.from.Read(buffer)
		if n > 0 && !r.enqueue(chunk{receivedAt: time.Now(), bytes: buffer[:n]}) {
			return
		}
		if err != nil {
			// The end of the stream and a reset do not cross a partition
			// either, so both are delivered like bytes.
			r.enqueue(chunk{receivedAt: time.Now(), reset: !errors.Is(err, io.EOF)})
			return
		}
	}
}

// enqueue reports false when the connection is closed.
func (r *reader) enqueue(c chunk) bool {
	select {
	case r.queue <- c:
		return true
	case <-r.conn.done:
		return false
	}
}
