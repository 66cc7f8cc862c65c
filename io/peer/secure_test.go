package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"siskincross/io/peer/peerpb"
)

func decode(t *testing.T, content []byte) *peerpb.Envelope {
	t.Helper()
	e := &peerpb.Envelope{}
	if err := proto.Unmarshal(content, e); err != nil {
		t.Fatal(err)
	}
	return e
}

// authority is a certificate authority for the entry hosts of a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func withAuthority(t *testing.T) authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	return authority{certificate: signCertificate(t, template, template, key, key), key: key}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func signCertificate(t *testing.T, template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) *x509.Certificate {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return certificate
}

// keys returns a TLS configuration with a new key for 127.0.0.1 and a certificate with the given serial number.
func (a authority) keys(t *testing.T, serial int64) *tls.Config {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry host"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	certificate := signCertificate(t, template, a.certificate, key, a.key)
	roots := x509.NewCertPool()
	roots.AddCert(a.certificate)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{certificate.Raw}, PrivateKey: key}},
		RootCAs:      roots,
	}
}

func withKeys(config *tls.Config) func(*Link) {
	return func(l *Link) { l.TLS = func() (*tls.Config, error) { return config, nil } }
}

func TestTLS(t *testing.T) {
	t.Run("keys of the same authority connect and the next connection has the renewed key", func(t *testing.T) {
		is := is.New(t)
		ca := withAuthority(t)
		var current atomic.Pointer[tls.Config]
		current.Store(ca.keys(t, 2))
		a := withLink(t, "a", func(l *Link) {
			l.TLS = func() (*tls.Config, error) { return current.Load(), nil }
		})
		b := withLink(t, "b", withKeys(ca.keys(t, 3)), withSeeds(a.Address()))
		waitUntil(t, func() bool { return isConnected(a, "b") && isConnected(b, "a") })
		current.Store(ca.keys(t, 4))
		ctx, cancel := context.WithTimeout(t.Context(), handshakeTimeout)
		defer cancel()
		conn, err := b.connect(ctx, a.Address())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		certificate := conn.(*tls.Conn).ConnectionState().PeerCertificates[0]
		is.Equal(certificate.SerialNumber.Int64(), int64(4))
	})
	t.Run("a peer without keys, or with keys of another authority, is refused", func(t *testing.T) {
		is := is.New(t)
		ca := withAuthority(t)
		a := withLink(t, "a", withKeys(ca.keys(t, 2)))
		withLink(t, "plain", withSeeds(a.Address()))
		assertRefused(t, a, "TLS: tls: first record does not look like a TLS handshake")
		foreign := withAuthority(t).keys(t, 2)
		foreign.RootCAs = ca.keys(t, 3).RootCAs
		withLink(t, "foreign", withKeys(foreign), withSeeds(a.Address()))
		assertRefused(t, a, "TLS: tls: failed to verify certificate")
		is.Equal(len(a.Peers()), 0)
	})
	t.Run("without keys only the loopback network is used", func(t *testing.T) {
		is := is.New(t)
		l := &Link{Listen: "192.0.2.1:7000"}
		is.Equal(<-l.Start(t.Context()), ErrPlaintextForbidden{Address: "192.0.2.1:7000"})
		_, err := l.connect(t.Context(), "192.0.2.1:7000")
		is.Equal(err, ErrPlaintextForbidden{Address: "192.0.2.1:7000"})
	})
	t.Run("without keys any network is used if plaintext is allowed", func(t *testing.T) {
		is := is.New(t)
		l := &Link{AllowPlaintext: true}
		is.NoErr(l.checkPlaintext("192.0.2.1:7000"))
		is.Equal(l.checkPlaintext("localhost:7000"), ErrInvalidAddress{Address: "localhost:7000"})
	})
	t.Run("host names are rejected", func(t *testing.T) {
		is := is.New(t)
		for _, address := range []string{"localhost:7000", "127.0.0.1", "0.0.0.0:7000", ""} {
			l := &Link{Listen: address}
			is.Equal(<-l.Start(t.Context()), ErrInvalidAddress{Address: address})
		}
	})
}
