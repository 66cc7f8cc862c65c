package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// checkAddress accepts only an "ip:port" that identifies one host. Links do not resolve names, and peers are told the
// address that the link listens on.
func checkAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Addr().IsUnspecified() {
		return ErrInvalidAddress{Address: address}
	}
	return nil
}

// checkPlaintext rejects addresses outside the loopback network if there are no TLS keys and plaintext is not allowed
// on any network.
func (l *Link) checkPlaintext(address string) error {
	if err := checkAddress(address); err != nil {
		return err
	}
	parsed := netip.MustParseAddrPort(address)
	if l.TLS == nil && !l.AllowPlaintext && !parsed.Addr().Unmap().IsLoopback() {
		return ErrPlaintextForbidden{Address: address}
	}
	return nil
}

// connect opens a connection to an address. It uses TLS if there are keys.
func (l *Link) connect(ctx context.Context, address string) (net.Conn, error) {
	if err := l.checkPlaintext(address); err != nil {
		return nil, err
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	secured, err := l.secureClient(ctx, l.meterConn(conn), address)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "TLS")
	}
	return secured, nil
}

// secureClient completes the TLS handshake of an outgoing connection if there are keys.
func (l *Link) secureClient(ctx context.Context, conn net.Conn, address string) (net.Conn, error) {
	if l.TLS == nil {
		return conn, nil
	}
	config, err := l.tlsConfig()
	if err != nil {
		return nil, err
	}
	if config.ServerName == "" {
		ip, _, _ := net.SplitHostPort(address)
		config.ServerName = ip
	}
	client := tls.Client(conn, config)
	return client, client.HandshakeContext(ctx)
}

// secureServer completes the TLS handshake of an incoming connection if there are keys. The peer's certificate is
// required.
func (l *Link) secureServer(ctx context.Context, conn net.Conn) (net.Conn, error) {
	conn = l.meterConn(conn)
	if l.TLS == nil {
		return conn, nil
	}
	config, err := l.tlsConfig()
	if err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	if config.ClientCAs == nil {
		config.ClientCAs = config.RootCAs
	}
	server := tls.Server(conn, config)
	return server, server.HandshakeContext(ctx)
}

// tlsConfig loads the TLS configuration. It is loaded for each connection, so that renewed keys apply from the next
// one.
func (l *Link) tlsConfig() (*tls.Config, error) {
	loaded, err := l.TLS()
	if err != nil {
		return nil, errors.Wrap(err, "load the TLS keys")
	}
	config := loaded.Clone()
	config.MinVersion = max(config.MinVersion, tls.VersionTLS13)
	return config, nil
}

// meteredConn counts the bytes of a connection in the link's metrics.
type meteredConn struct {
	net.Conn
	link *Link
}

func (l *Link) meterConn(conn net.Conn) net.Conn { return meteredConn{Conn: conn, link: l} }

// Read implements net.Conn.
func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.link.scope().Counter("received-bytes").Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.link.scope().Counter("sent-bytes").Inc(int64(n))
	return n, err
}
