package frame

// receive handles a frame that the peer sent on this stream. s.mu is held.
func (st *Stream) receive(f Frame) error {
	if st.endReceived && f.Type != TypeReset && f.Type != TypeWindow {
		return wireErrorf("frame of type %d after the end of stream %d", f.Type, st.id)
	}
	if (f.Type == TypeHead || f.Type == TypeEnd) && len(f.Payload) > MaxHeadBytes {
		return wireErrorf("head or trailer of stream %d is too large", st.id)
	}
	switch f.Type {
	case TypeHead:
		return st.receiveHead(f.Payload)
	case TypeData, TypeReservedData:
		return st.receiveData(f)
	case TypeEnd:
		return st.receiveEnd(f.Payload)
	case TypeReset:
		c, err := parseCode(f.Payload)
		if err == nil {
			st.abort(&ResetError{Code: c, Remote: true}, false)
		}
		return err
	}
	return st.receiveWindow(f.Payload)
}

func (st *Stream) receiveWindow(p []byte) error {
	n, reserved, err := parseWindow(p)
	if err != nil {
		return err
	}
	st.sendWindow += n
	st.sendReserve += reserved
	if st.sendWindow > st.s.peer.StreamWindow || st.sendReserve > streamReserve {
		return wireErrorf("window of stream %d exceeded", st.id)
	}
	st.writable.Broadcast()
	return nil
}

func (st *Stream) receiveHead(p []byte) error {
	if !st.local || st.headReceived || st.bodyStarted {
		return wireErrorf("head of stream %d is out of order", st.id)
	}
	st.headReceived = true
	st.responseHead = append([]byte(nil), p...)
	st.readable.Broadcast()
	return nil
}

func (st *Stream) receiveData(f Frame) error {
	p := f.Payload
	if len(p) == 0 {
		return wireErrorf("empty data frame")
	}
	st.bodyStarted = true
	st.recvWindow -= len(p)
	if f.Type == TypeReservedData {
		st.recvReserve -= len(p)
	} else {
		st.unreadInSession += len(p)
	}
	if st.recvWindow < 0 || st.recvReserve < 0 {
		return wireErrorf("peer exceeds the window of stream %d", st.id)
	}
	st.unread.write(p)
	if !st.take(len(p)) {
		st.resetStalled()
	}
	st.readable.Broadcast()
	return nil
}

func (st *Stream) receiveEnd(p []byte) error {
	st.endReceived = true
	if len(p) > 0 {
		st.trailer = append([]byte(nil), p...)
	}
	st.finishIfComplete()
	st.readable.Broadcast()
	return nil
}
