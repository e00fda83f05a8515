package link

import (
	"io"
	"net"
	"sync"

	"currantusher.dev/core"
)

const tcpBufferBytes = 32 << 10

// ProxyTCP opens a port at which instance id reaches target, such as the origin or
// the store. With an empty id the traffic is not counted.
func (n *Network) ProxyTCP(id core.InstanceID, target string) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.wg.Go(func() {
		<-n.ctx.Done()
		_ = listener.Close()
	})
	n.wg.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			n.wg.Go(func() { n.proxyConn(id, client, target) })
		}
	})
	return listener.Addr().String(), nil
}

// proxyConn copies both directions between a client and a new connection to target.
func (n *Network) proxyConn(id core.InstanceID, client net.Conn, target string) {
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
	var directions sync.WaitGroup
	directions.Go(func() { n.copyDirection(server, client, id, "") })
	directions.Go(func() { n.copyDirection(client, server, "", id) })
	directions.Wait()
}

// copyDirection copies data between two connections until the data ends, and then
// closes the write side of the receiving connection.
func (n *Network) copyDirection(to, from net.Conn, sender, receiver core.InstanceID) {
	buffer := make([]byte, tcpBufferBytes)
	for {
		size, err := from.Read(buffer)
		if size > 0 {
			if !n.transfer(sender, receiver, size) {
				_ = to.Close()
				return
			}
			if _, err := to.Write(buffer[:size]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			endWrites(to, err)
			return
		}
	}
}

// endWrites closes the write side of conn at the end of the data, and both sides
// after an error.
func endWrites(conn net.Conn, cause error) {
	tcp, ok := conn.(*net.TCPConn)
	if ok && cause == io.EOF {
		_ = tcp.CloseWrite()
		return
	}
	_ = conn.Close()
}
