package frame_test

import (
	"context"
	"fmt"
	"io"
	"net"

	"dogwoodsill.org/core/frame"
)

// The server handles a Call of kind 1 and echoes the body of a stream of kind
// 2.
func Example() {
	ctx := context.Background()
	secret := frame.WithSecret([]byte("at least sixteen bytes"))
	clientConn, serverConn := net.Pipe()
	go func() {
		_, err := frame.Server(ctx, serverConn, func(st *frame.Stream) {
			if st.Kind() == 1 {
				_ = frame.ServeCall(st, func(_ context.Context, n int) (int, error) { return n * n, nil })
				return
			}
			_ = st.SendHead([]byte("200"))
			_, _ = io.Copy(st, st)
			_ = st.CloseWrite([]byte("complete"))
		}, frame.WithName("kirkos-1"), secret)
		if err != nil {
			fmt.Println(err)
		}
	}()
	s, err := frame.Client(ctx, clientConn, frame.WithName("bole-1"), secret)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer s.Close()
	n, err := frame.Call[int, int](ctx, s, 1, 12)
	fmt.Println(s.Peer(), n, err)

	st, err := s.Open(ctx, 2, []byte("GET /stubs"))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer st.Reset(frame.CodeCanceled)
	_, _ = st.Write([]byte("artwork"))
	_ = st.CloseWrite(nil)
	head, _ := st.RecvHead(ctx)
	body, err := io.ReadAll(st)
	fmt.Printf("%s %s %s %v\n", head, body, st.Trailer(), err)
	// Output:
	// kirkos-1 144 <nil>
	// 200 artwork complete <nil>
}
