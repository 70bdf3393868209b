// Package wire is the transport between the processes of a fleet: drpc over TCP.
// Each connection starts with a preamble that contains a hash of the fleet's
// secret, which proves that the dialer knows the secret.
//
// # Usage
//
//	d := &wire.Dialer{Secret: secret}
//	defer d.Close()
//	stream, err := wire.NewDRPCWorkClient(d.To("127.0.0.1:7001")).Run(ctx)
//
//	s := &wire.Server{Secret: secret, Work: w, Peer: p}
//	err := s.Serve(ctx, listener)
package wire

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	// MaxMessageBytes is the maximum size of a message between processes.
	MaxMessageBytes = 4 << 20
	// BodyPartBytes is the maximum size of the parts in which a body is sent.
	BodyPartBytes = 64 << 10

	preambleMagic   = "JWING\x00\x01\n"
	preambleTimeout = 2 * time.Second
	connectTimeout  = time.Second
	idleExpiration  = 30 * time.Second
	idleConns       = 1024
	idleConnsPerVM  = 64
	softCancelGrace = time.Second
)

// Secret is the shared secret of the fleet. Its hash is sent in the preamble of
// each connection.
type Secret string

func (s Secret) preamble() []byte {
	h := sha256.Sum256([]byte(s))
	return append([]byte(preambleMagic), h[:]...)
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		SoftCancel:      true,
		SoftCancelGrace: softCancelGrace,
	}
}

// Dialer opens and pools connections to other processes. Only Secret needs to
// be set before use. A Dialer is safe for concurrent use.
type Dialer struct {
	Secret Secret

	once sync.Once
	pool *drpcpool.Pool[string, *drpcconn.Conn]
}

func (d *Dialer) init() {
	d.pool = drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
		Expiration:  idleExpiration,
		Capacity:    idleConns,
		KeyCapacity: idleConnsPerVM,
	})
}

// To returns a connection to the process at address, which is an IP:port. It
// dials on first use.
func (d *Dialer) To(address string) drpcpool.Conn {
	d.once.Do(d.init)
	return d.pool.Get(context.Background(), address, d.dial)
}

// Close closes the idle connections of the pool.
func (d *Dialer) Close() error {
	d.once.Do(d.init)
	return d.pool.Close()
}

func (d *Dialer) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	nd := net.Dialer{Timeout: connectTimeout}
	c, err := nd.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial peer: %w", err)
	}
	if _, err := c.Write(d.Secret.preamble()); err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("dial peer: %w", err)
	}
	return drpcconn.NewWithOptions(c, drpcconn.Options{Manager: managerOptions()}), nil
}

// Server serves Work, Peer and Gateways. A service that is nil is not
// registered.
type Server struct {
	Secret   Secret
	Work     DRPCWorkServer
	Peer     DRPCPeerServer
	Gateways DRPCGatewaysServer
	// OnRefused is called for each connection that does not present the secret;
	// it may be nil.
	OnRefused func(remote string, err error)
}

// Serve accepts connections until ctx ends; it then closes the listener and
// every connection.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	m := drpcmux.New()
	if s.Work != nil {
		if err := DRPCRegisterWork(m, s.Work); err != nil {
			return fmt.Errorf("register work: %w", err)
		}
	}
	if s.Peer != nil {
		if err := DRPCRegisterPeer(m, s.Peer); err != nil {
			return fmt.Errorf("register peer: %w", err)
		}
	}
	if s.Gateways != nil {
		if err := DRPCRegisterGateways(m, s.Gateways); err != nil {
			return fmt.Errorf("register gateways: %w", err)
		}
	}
	server := drpcserver.NewWithOptions(m, drpcserver.Options{Manager: managerOptions()})
	return server.Serve(ctx, &authListener{Listener: l, preamble: s.Secret.preamble(), onRefused: s.OnRefused})
}

type authListener struct {
	net.Listener
	preamble  []byte
	onRefused func(string, error)
}

// Accept returns connections that verify the preamble on their first read, so
// that a slow peer does not block Accept for others.
func (l *authListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &authConn{Conn: c, listener: l}, nil
}

type authConn struct {
	net.Conn
	listener *authListener
	once     sync.Once
	err      error
}

func (c *authConn) Read(p []byte) (int, error) {
	c.once.Do(c.verifyPreamble)
	if c.err != nil {
		return 0, c.err
	}
	return c.Conn.Read(p)
}

func (c *authConn) verifyPreamble() {
	got := make([]byte, len(c.listener.preamble))
	_ = c.SetReadDeadline(time.Now().Add(preambleTimeout))
	for n := 0; n < len(got); {
		m, err := c.Conn.Read(got[n:])
		n += m
		if err != nil {
			c.refuse(err)
			return
		}
	}
	if subtle.ConstantTimeCompare(got, c.listener.preamble) != 1 {
		c.refuse(fmt.Errorf("preamble does not match"))
		return
	}
	_ = c.SetReadDeadline(time.Time{})
}

func (c *authConn) refuse(cause error) {
	c.err = result.Errorf(result.BadSecret, "connection from %s: %w", c.RemoteAddr(), cause)
	_ = c.Conn.Close()
	if c.listener.onRefused != nil {
		c.listener.onRefused(c.RemoteAddr().String(), c.err)
	}
}
