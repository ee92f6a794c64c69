package frame

import "time"

const (
	// freeUnreadBytes is the number of unread bytes that a stream may hold in any case. It covers
	// the time between two reads of a reader that keeps up.
	freeUnreadBytes = 64 << 10
	// readerStallTime is the time without a read after which the reader of a stream has stopped.
	readerStallTime = time.Second
)

// take counts n received bytes and reports whether the stream may keep them. s.mu is held.
func (st *Stream) take(n int) bool {
	m := st.s.opt.Memory
	return m == nil || m.Take(int64(n), time.Now()) || st.unread.size <= freeUnreadBytes
}

// giveBack counts n bytes as no longer held. s.mu is held.
func (st *Stream) giveBack(n int) {
	if m := st.s.opt.Memory; m != nil && n > 0 {
		m.Shrink(int64(n))
	}
}

// holdsMemory reports whether the stream has to give way since its reader has stopped. s.mu is held.
func (st *Stream) holdsMemory(now time.Duration) bool {
	m := st.s.opt.Memory
	return m != nil && st.unread.size > freeUnreadBytes && now-st.lastRead >= readerStallTime && m.Full()
}

// resetStalled resets the stream with CodeStalled without waiting for the writer. s.mu is held.
func (st *Stream) resetStalled() {
	st.s.pending.resets = append(st.s.pending.resets, pendingReset{st.id, CodeStalled})
	st.s.wakeWriter()
	st.abort(&ResetError{Code: CodeStalled}, true)
}
