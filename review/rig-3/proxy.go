package main

import (
	"net"
	"sync"
)

// proxy forwards connections to the store. While it is cut, it takes bytes and holds them back, as a partition does.
type proxy struct {
	address, target string

	mu   sync.Mutex
	cut  bool
	heal *sync.Cond
}

// startProxy starts a proxy on a free port.
func startProxy(target string) (*proxy, error) {
	ls, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	pr := &proxy{address: ls.Addr().String(), target: target}
	pr.heal = sync.NewCond(&pr.mu)
	go func() {
		for {
			nc, err := ls.Accept()
			if err != nil {
				return
			}
			go pr.forward(nc)
		}
	}()
	return pr, nil
}

// setCut cuts the path or heals it.
func (pr *proxy) setCut(cut bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.cut = cut
	pr.heal.Broadcast()
}

// await waits until the path is whole.
func (pr *proxy) await() {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for pr.cut {
		pr.heal.Wait()
	}
}

// forward carries one connection.
func (pr *proxy) forward(near net.Conn) {
	defer near.Close()
	pr.await()
	far, err := net.Dial("tcp", pr.target)
	if err != nil {
		return
	}
	go func() {
		pr.carry(far, near)
		_ = far.Close()
	}()
	pr.carry(near, far)
	_ = near.Close()
	_ = far.Close()
}

// carry copies bytes in one direction.
func (pr *proxy) carry(dst, src net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		count, err := src.Read(buf)
		pr.await()
		if count > 0 {
			if _, err := dst.Write(buf[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
