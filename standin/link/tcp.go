package link

import (
	"io"
	"net"
	"sync"

	"currantusher.dev/core"
)

const tcpBufferBytes = 32 << 10

// ProxyTCP opens a port by which machine id reaches target, such as the origin or
// the store. "" as id counts nothing.
func (n *Network) ProxyTCP(id core.InstanceID, target string) (string, error) {
	front, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.wg.Go(func() {
		<-n.ctx.Done()
		_ = front.Close()
	})
	n.wg.Go(func() {
		for {
			client, err := front.Accept()
			if err != nil {
				return
			}
			n.wg.Go(func() { n.splice(id, client, target) })
		}
	})
	return front.Addr().String(), nil
}

func (n *Network) splice(id core.InstanceID, client net.Conn, target string) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp4", target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	done := make(chan struct{})
	defer close(done)
	n.wg.Go(func() {
		select {
		case <-n.ctx.Done():
		case <-done:
		}
		_ = client.Close()
		_ = server.Close()
	})
	var both sync.WaitGroup
	both.Go(func() { n.pump(server, client, id, "") })
	both.Go(func() { n.pump(client, server, "", id) })
	both.Wait()
}

// pump copies one direction and passes its end on.
func (n *Network) pump(to, from net.Conn, sender, receiver core.InstanceID) {
	buffer := make([]byte, tcpBufferBytes)
	for {
		size, err := from.Read(buffer)
		if size > 0 {
			if !n.move(sender, receiver, size) {
				_ = to.Close()
				return
			}
			if _, err := to.Write(buffer[:size]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			closeWrite(to, err)
			return
		}
	}
}

func closeWrite(conn net.Conn, cause error) {
	tcp, ok := conn.(*net.TCPConn)
	if ok && cause == io.EOF {
		_ = tcp.CloseWrite()
		return
	}
	_ = conn.Close()
}
