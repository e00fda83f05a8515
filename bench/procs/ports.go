package procs

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
)

// Ports are chosen below the range that the operating system uses for outgoing
// connections. Otherwise such a connection could take a port between its choice
// and its use. Blocks of them are locked for the life of the process, so that
// no other test process chooses the same port in that time.
const (
	firstPort     = 12000
	lastPort      = 32000
	portsPerBlock = 100
	blockCount    = (lastPort - firstPort) / portsPerBlock
)

var errNoFreePort = errors.New("no free port on loopback")

// portAllocator hands out the ports of the blocks that the process has locked. A
// port is returned again only when no further block can be locked.
type portAllocator struct {
	// dir holds the lock files.
	dir    string
	mu     sync.Mutex
	blocks []int
	// locks keeps the lock files open.
	locks []*os.File
	// next counts the ports handed out since the last return to the first block.
	next int
}

var ports = portAllocator{dir: filepath.Join(os.TempDir(), fmt.Sprintf("currantusher-ports-%d", os.Getuid()))}

// FreeTCP returns a loopback address whose TCP port was free when it was
// checked.
func FreeTCP() (string, error) {
	return ports.free(func(addr string) error {
		listener, err := net.Listen("tcp4", addr)
		if err != nil {
			return err
		}
		return listener.Close()
	})
}

// FreeUDP returns a loopback address whose UDP port was free when it was
// checked.
func FreeUDP() (string, error) {
	return ports.free(func(addr string) error {
		conn, err := net.ListenPacket("udp4", addr)
		if err != nil {
			return err
		}
		return conn.Close()
	})
}

func (a *portAllocator) free(tryListen func(addr string) error) (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for range lastPort - firstPort {
		if a.next == len(a.blocks)*portsPerBlock {
			if err := a.lockBlock(); err != nil {
				return "", err
			}
		}
		port := firstPort + a.blocks[a.next/portsPerBlock]*portsPerBlock + a.next%portsPerBlock
		a.next++
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if tryListen(addr) == nil {
			return addr, nil
		}
	}
	return "", errNoFreePort
}

// lockBlock locks one more block, or returns to the first one if none is left.
func (a *portAllocator) lockBlock() error {
	if err := os.MkdirAll(a.dir, 0o700); err != nil {
		return fmt.Errorf("directory of port locks: %w", err)
	}
	for i := range blockCount {
		block := (os.Getpid() + i) % blockCount
		path := filepath.Join(a.dir, fmt.Sprintf("%d.lock", firstPort+block*portsPerBlock))
		file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return fmt.Errorf("lock ports: %w", err)
		}
		if syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
			_ = file.Close()
			continue
		}
		a.blocks = append(a.blocks, block)
		a.locks = append(a.locks, file)
		return nil
	}
	if len(a.blocks) == 0 {
		return errNoFreePort
	}
	a.next = 0
	return nil
}
