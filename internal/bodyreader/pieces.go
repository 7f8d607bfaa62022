package bodyreader

import "sync"

// pieceBytes is the size of the buffers in which a body is read.
const pieceBytes = 16 << 10

type piece [pieceBytes]byte

var piecePool = sync.Pool{New: func() any { return new(piece) }}

// pieces holds what has arrived of a body. Its buffers are used again, so that bodies which
// never become whole leave little for the garbage collector.
type pieces struct {
	list []*piece
	size int // bytes that have arrived
}

// full reports whether a further buffer is needed.
func (p *pieces) full() bool { return p.size == len(p.list)*pieceBytes }

// grow adds a buffer.
func (p *pieces) grow() { p.list = append(p.list, piecePool.Get().(*piece)) }

// room returns the unused part of the last buffer.
func (p *pieces) room() []byte {
	return p.list[len(p.list)-1][p.size-(len(p.list)-1)*pieceBytes:]
}

// join returns the body in one piece.
func (p *pieces) join() []byte {
	body := make([]byte, 0, p.size)
	for _, b := range p.list {
		body = append(body, b[:min(pieceBytes, p.size-len(body))]...)
	}
	return body
}

// free gives the buffers back.
func (p *pieces) free() {
	for _, b := range p.list {
		piecePool.Put(b)
	}
	p.list, p.size = nil, 0
}
