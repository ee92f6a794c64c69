package frame

import "sync"

// Sizes of pooled blocks in bytes. Small payloads use small blocks, so that
// streams with a few buffered bytes hold little memory.
const (
	smallBlock = 1 << 10
	largeBlock = dataBytes
)

// block is a buffer of one of the two sizes.
type block struct {
	b []byte
}

var (
	smallBlocks = sync.Pool{New: func() any { return &block{b: make([]byte, smallBlock)} }}
	largeBlocks = sync.Pool{New: func() any { return &block{b: make([]byte, largeBlock)} }}
)

// getBlock returns a block for n bytes, or the largest one if n is larger.
func getBlock(n int) *block {
	if n <= smallBlock {
		return smallBlocks.Get().(*block)
	}
	return largeBlocks.Get().(*block)
}

func (b *block) put() {
	if len(b.b) == smallBlock {
		smallBlocks.Put(b)
	} else {
		largeBlocks.Put(b)
	}
}

// blockList is a queue of bytes in blocks.
type blockList struct {
	blocks []*block
	off    int // bytes already read of the first block
	end    int // bytes used of the last block
	n      int // bytes in the queue
}

// write appends p. It fills the last block first, so that many small payloads
// share a block.
func (l *blockList) write(p []byte) {
	l.n += len(p)
	for len(p) > 0 {
		if k := len(l.blocks); k == 0 || l.end == len(l.blocks[k-1].b) {
			l.blocks = append(l.blocks, getBlock(len(p)))
			l.end = 0
		}
		c := copy(l.blocks[len(l.blocks)-1].b[l.end:], p)
		l.end += c
		p = p[c:]
	}
}

// read moves bytes to p and returns their number.
func (l *blockList) read(p []byte) int {
	total := 0
	for l.n > 0 && len(p) > 0 {
		first := l.blocks[0]
		limit := len(first.b)
		if len(l.blocks) == 1 {
			limit = l.end
		}
		c := copy(p, first.b[l.off:limit])
		p, l.off, l.n, total = p[c:], l.off+c, l.n-c, total+c
		if l.off == limit {
			l.drop()
		}
	}
	return total
}

// drop returns the first block to its pool.
func (l *blockList) drop() {
	l.blocks[0].put()
	copy(l.blocks, l.blocks[1:])
	l.blocks = l.blocks[:len(l.blocks)-1]
	l.off = 0
}

// clear drops all bytes and returns their number.
func (l *blockList) clear() int {
	n := l.n
	for len(l.blocks) > 0 {
		l.drop()
	}
	l.n = 0
	return n
}
