package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// flow is one direction of a relayed connection.
type flow struct {
	server *Server
	from   Location
	to     Location
	delay  time.Duration
	// link is nil if no rate limit applies.
	link *link
}

// chunk is a part of a byte stream, or the end of the stream if err is set.
type chunk struct {
	// sentAt is when the chunk was read and the link, if there is one, had transmitted
	// it. The delay starts then.
	sentAt  time.Time
	content []byte
	err     error
}

const (
	// chunkBytes is the maximum number of bytes in one read.
	chunkBytes = 32 << 10
	// windowChunks is the maximum number of chunks in flight in one flow.
	windowChunks = 256
)

// awaitArrival waits until bytes that were sent at sentAt have arrived: until the
// delay has passed since then and no partition blocks the flow.
func (f *flow) awaitArrival(ctx context.Context, sentAt time.Time) error {
	if err := sleep(ctx, time.Until(sentAt.Add(f.delay))); err != nil {
		return err
	}
	for {
		changed := f.server.changedIfBlocked(f.from, f.to)
		if changed == nil {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sleep waits for a duration. If ctx is done first, it returns the error of ctx.
func sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// forward copies the stream from one connection to the other and passes on its end
// with closeWrite. If reading or closeWrite fails, it cancels both directions after
// the delay. If writing fails, it discards the rest of the stream, but leaves the
// opposite direction open, so that bytes already sent in that direction still arrive.
func (f *flow) forward(ctx context.Context, cancel context.CancelFunc, from, to net.Conn) {
	chunks := make(chan chunk, windowChunks)
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { f.readChunks(ctx, from, chunks) })
	writeFailed := false
	for next := range chunks {
		if f.awaitArrival(ctx, next.sentAt) != nil {
			cancel()
			return
		}
		if next.err == io.EOF && (writeFailed || closeWrite(to)) {
			return
		}
		if next.err != nil {
			cancel()
			return
		}
		if writeFailed {
			continue
		}
		_, err := to.Write(next.content)
		writeFailed = err != nil
	}
}

// readChunks reads the stream no faster than the rate of its link. The last chunk
// holds the error that ended it.
func (f *flow) readChunks(ctx context.Context, from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		count, err := from.Read(buffer)
		if count > 0 {
			if f.link != nil && f.link.transmit(ctx, count) != nil {
				return
			}
			if !enqueue(ctx, chunks, chunk{
				sentAt:  time.Now(),
				content: buffer[:count],
			}) {
				return
			}
		}
		if err != nil {
			enqueue(ctx, chunks, chunk{
				sentAt: time.Now(),
				err:    err,
			})
			return
		}
	}
}

// enqueue sends a chunk to the channel. It returns false if ctx is done first.
func enqueue(ctx context.Context, chunks chan<- chunk, next chunk) bool {
	select {
	case chunks <- next:
		return true
	case <-ctx.Done():
		return false
	}
}

// closeWrite closes the sending direction of a connection. It returns false if the
// connection does not support that or the close fails.
func closeWrite(conn net.Conn) bool {
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	return ok && halfCloser.CloseWrite() == nil
}
