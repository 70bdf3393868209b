package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"
)

const readHeaderTimeout = 10 * time.Second

// server is a handler and the address to serve it on.
type server struct {
	// name is the first word of the line that announces the address.
	name    string
	address string
	handler http.Handler
}

// serve runs the servers and the tasks until the context of the command is done or
// one of them fails. It then closes all connections, including those with requests
// in flight.
func (p commandBase) serve(servers []server, tasks ...func(context.Context) error) error {
	listeners := make([]net.Listener, len(servers))
	for i, s := range servers {
		l, err := listen(s.address)
		if err != nil {
			return err
		}
		defer l.Close()
		listeners[i] = l
	}
	for i, s := range servers {
		if _, err := fmt.Fprintf(p.out, "%s %s\n", s.name, listeners[i].Addr()); err != nil {
			return fmt.Errorf("print address: %w", err)
		}
	}
	group, ctx := errgroup.WithContext(p.ctx)
	for i, s := range servers {
		h := &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout}
		group.Go(func() error {
			if err := h.Serve(listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serve %s: %w", s.name, err)
			}
			return nil
		})
		group.Go(func() error {
			<-ctx.Done()
			return h.Close()
		})
	}
	for _, task := range tasks {
		group.Go(func() error { return task(ctx) })
	}
	return group.Wait()
}

func listen(address string) (net.Listener, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fmt.Errorf("listen on %q: address is not IP:port: %w", address, err)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}
