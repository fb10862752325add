package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// way is one direction of a connection.
type way struct {
	server *Server
	from   Location
	to     Location
	delay  time.Duration
	// link is nil where no rate is kept.
	link *link
}

// chunk is a part of the stream, or its end when content is empty.
type chunk struct {
	sent    time.Time
	content []byte
	err     error
}

const (
	// chunkBytes is the most that is read at once.
	chunkBytes = 32 << 10
	// windowChunks bounds what is under way on one connection and direction.
	windowChunks = 256
)

// travel waits until what was sent at a time has arrived; a cut holds it back.
func (w *way) travel(ctx context.Context, sent time.Time) error {
	if err := sleep(ctx, time.Until(sent.Add(w.delay))); err != nil {
		return err
	}
	for {
		changed := w.server.open(w.from, w.to)
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

func sleep(ctx context.Context, span time.Duration) error {
	if span <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// carry moves the stream from one connection to the other. A connection that
// breaks while it is read breaks the other, after the delay. One that takes no
// more loses what is sent to it, while what it has sent still arrives.
func (w *way) carry(ctx context.Context, cancel context.CancelFunc, from, to net.Conn) {
	chunks := make(chan chunk, windowChunks)
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { w.receive(ctx, from, chunks) })
	broken := false
	for part := range chunks {
		if w.travel(ctx, part.sent) != nil {
			cancel()
			return
		}
		if part.err == io.EOF && (broken || closeWrite(to)) {
			return
		}
		if part.err != nil {
			cancel()
			return
		}
		if broken {
			continue
		}
		_, err := to.Write(part.content)
		broken = err != nil
	}
}

// receive reads the stream no faster than its link allows. The last chunk says
// why it ended.
func (w *way) receive(ctx context.Context, from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		count, err := from.Read(buffer)
		if count > 0 {
			if w.link != nil && w.link.take(ctx, count) != nil {
				return
			}
			if !push(ctx, chunks, chunk{
				sent:    time.Now(),
				content: buffer[:count],
			}) {
				return
			}
		}
		if err != nil {
			push(ctx, chunks, chunk{
				sent: time.Now(),
				err:  err,
			})
			return
		}
	}
}

func push(ctx context.Context, chunks chan<- chunk, part chunk) bool {
	select {
	case chunks <- part:
		return true
	case <-ctx.Done():
		return false
	}
}

// closeWrite ends one direction only, where the connection can.
func closeWrite(conn net.Conn) bool {
	half, can := conn.(interface{ CloseWrite() error })
	return can && half.CloseWrite() == nil
}
