package frame

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxNesting is the greatest depth of the lists and maps of a message.
const maxNesting = 64

// FormatError reports a message that can't be decoded safely.
type FormatError struct {
	Offset int // in the message
	Detail string
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("malformed message at byte %d: %s", e.Offset, e.Detail)
}

// Decode decodes a message of a peer from msgpack. The library allocates the length that a
// list or a byte string claims to have, and calls itself for each level of a value that it
// skips. Decode therefore first checks that the message holds what its lengths claim, and
// that it is not nested too deeply. It accepts no extension types, and ignores bytes after
// the message.
func Decode(msg []byte, v any) error {
	c := checker{msg: msg}
	if err := c.skipValues(1, 0); err != nil {
		return err
	}
	return msgpack.Unmarshal(msg, v)
}

// checker walks through a message.
type checker struct {
	msg    []byte
	offset int
}

func (c *checker) fail(detail string) error {
	return &FormatError{Offset: c.offset, Detail: detail}
}

// skipValues skips n values at a depth. Each takes one byte at least.
func (c *checker) skipValues(n, depth int) error {
	if n > len(c.msg)-c.offset {
		return c.fail("a length exceeds the message")
	}
	if depth > maxNesting {
		return c.fail("nested too deeply")
	}
	for range n {
		if err := c.skipValue(depth); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) skipValue(depth int) error {
	if c.offset == len(c.msg) {
		return c.fail("truncated")
	}
	code := c.msg[c.offset]
	c.offset++
	switch {
	case msgpcode.IsFixedNum(code):
		return nil
	case msgpcode.IsFixedMap(code):
		return c.skipValues(2*int(code&msgpcode.FixedMapMask), depth+1)
	case msgpcode.IsFixedArray(code):
		return c.skipValues(int(code&msgpcode.FixedArrayMask), depth+1)
	case msgpcode.IsFixedString(code):
		return c.skipBytes(int(code & msgpcode.FixedStrMask))
	}
	switch code {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return nil
	case msgpcode.Uint8, msgpcode.Int8:
		return c.skipBytes(1)
	case msgpcode.Uint16, msgpcode.Int16:
		return c.skipBytes(2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return c.skipBytes(4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return c.skipBytes(8)
	case msgpcode.Str8, msgpcode.Bin8:
		return c.skipSized(1, c.skipBytes)
	case msgpcode.Str16, msgpcode.Bin16:
		return c.skipSized(2, c.skipBytes)
	case msgpcode.Str32, msgpcode.Bin32:
		return c.skipSized(4, c.skipBytes)
	case msgpcode.Array16:
		return c.skipSized(2, func(n int) error { return c.skipValues(n, depth+1) })
	case msgpcode.Array32:
		return c.skipSized(4, func(n int) error { return c.skipValues(n, depth+1) })
	case msgpcode.Map16:
		return c.skipSized(2, func(n int) error { return c.skipValues(2*n, depth+1) })
	case msgpcode.Map32:
		return c.skipSized(4, func(n int) error { return c.skipValues(2*n, depth+1) })
	default:
		return c.fail(fmt.Sprintf("type %#x is not accepted", code))
	}
}

func (c *checker) skipBytes(n int) error {
	if n > len(c.msg)-c.offset {
		return c.fail("a length exceeds the message")
	}
	c.offset += n
	return nil
}

// skipSized reads a length of the given number of bytes and calls skip with it.
func (c *checker) skipSized(size int, skip func(n int) error) error {
	at := c.offset
	if err := c.skipBytes(size); err != nil {
		return err
	}
	n := 0
	for _, b := range c.msg[at:c.offset] {
		n = n<<8 | int(b)
	}
	return skip(n)
}
