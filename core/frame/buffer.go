package frame

import "sync"

// Sizes of pooled blocks in bytes. Small payloads use small blocks, so that
// streams with little buffered data use little memory.
const (
	smallBlockBytes = 1 << 10
	largeBlockBytes = maxDataBytes
)

// block is a pooled buffer of smallBlockBytes or largeBlockBytes.
type block struct {
	b []byte
}

var (
	smallBlocks = sync.Pool{New: func() any { return &block{b: make([]byte, smallBlockBytes)} }}
	largeBlocks = sync.Pool{New: func() any { return &block{b: make([]byte, largeBlockBytes)} }}
)

// getBlock returns a block that holds n bytes, or a large block if n exceeds
// largeBlockBytes.
func getBlock(n int) *block {
	if n <= smallBlockBytes {
		return smallBlocks.Get().(*block)
	}
	return largeBlocks.Get().(*block)
}

func (b *block) put() {
	if len(b.b) == smallBlockBytes {
		smallBlocks.Put(b)
	} else {
		largeBlocks.Put(b)
	}
}

// blockList is a FIFO byte queue stored in pooled blocks.
type blockList struct {
	blocks      []*block
	readOffset  int // bytes already read from the first block
	writeOffset int // bytes written to the last block
	size        int // bytes in the queue
}

// write appends p. It fills the last block before it allocates another, so that
// many small payloads share a block.
func (l *blockList) write(p []byte) {
	l.size += len(p)
	for len(p) > 0 {
		if k := len(l.blocks); k == 0 || l.writeOffset == len(l.blocks[k-1].b) {
			l.blocks = append(l.blocks, getBlock(len(p)))
			l.writeOffset = 0
		}
		c := copy(l.blocks[len(l.blocks)-1].b[l.writeOffset:], p)
		l.writeOffset += c
		p = p[c:]
	}
}

// read moves up to len(p) bytes from the queue to p and returns their number.
func (l *blockList) read(p []byte) int {
	total := 0
	for l.size > 0 && len(p) > 0 {
		first := l.blocks[0]
		limit := len(first.b)
		if len(l.blocks) == 1 {
			limit = l.writeOffset
		}
		c := copy(p, first.b[l.readOffset:limit])
		p, l.readOffset, l.size, total = p[c:], l.readOffset+c, l.size-c, total+c
		if l.readOffset == limit {
			l.releaseFirst()
		}
	}
	return total
}

// releaseFirst removes the first block and returns it to its pool.
func (l *blockList) releaseFirst() {
	l.blocks[0].put()
	copy(l.blocks, l.blocks[1:])
	l.blocks = l.blocks[:len(l.blocks)-1]
	l.readOffset = 0
}

// clear discards all queued bytes and returns their number.
func (l *blockList) clear() int {
	n := l.size
	for len(l.blocks) > 0 {
		l.releaseFirst()
	}
	l.size = 0
	return n
}
