package frame

// receive handles a frame for this stream. s.mu is held.
func (st *Stream) receive(f Frame) error {
	if st.ended && f.Type != TypeReset && f.Type != TypeWindow {
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
			st.end(&ResetError{Code: c, Remote: true}, false)
		}
		return err
	}
	return st.receiveWindow(f.Payload)
}

func (st *Stream) receiveWindow(p []byte) error {
	n, own, err := parseWindow(p)
	if err != nil {
		return err
	}
	st.credit += n
	st.own += own
	if st.credit > st.s.peer.StreamWindow || st.own > allowance {
		return wireErrorf("window of stream %d exceeded", st.id)
	}
	st.writable.Broadcast()
	return nil
}

func (st *Stream) receiveHead(p []byte) error {
	if !st.local || st.answered || st.begun {
		return wireErrorf("head of stream %d is out of order", st.id)
	}
	st.answered = true
	st.answer = append([]byte(nil), p...)
	st.readable.Broadcast()
	return nil
}

func (st *Stream) receiveData(f Frame) error {
	p := f.Payload
	if len(p) == 0 {
		return wireErrorf("empty data frame")
	}
	st.begun = true
	st.room -= len(p)
	if f.Type == TypeReservedData {
		st.roomOwn -= len(p)
	} else {
		st.shared += len(p)
	}
	if st.room < 0 || st.roomOwn < 0 {
		return wireErrorf("peer exceeds the window of stream %d", st.id)
	}
	st.in.write(p)
	st.readable.Broadcast()
	return nil
}

func (st *Stream) receiveEnd(p []byte) error {
	st.ended = true
	if len(p) > 0 {
		st.trailer = append([]byte(nil), p...)
	}
	st.settle()
	st.readable.Broadcast()
	return nil
}
