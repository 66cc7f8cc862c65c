package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"

	"siskincross/io/settings"
)

// mutualTLS returns a function that loads the TLS configuration for peer connections from the certificate, key and
// certificate authority in the settings. It returns nil if the settings name no certificate. The files are read at
// each call, so that replaced keys take effect with the next connection.
func mutualTLS(s settings.Peers) func() (*tls.Config, error) {
	if s.Certificate == "" {
		return nil
	}
	return func() (*tls.Config, error) {
		certificate, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
		if err != nil {
			return nil, errors.Wrap(err, "load the certificate and key for peers")
		}
		authority, err := os.ReadFile(s.Authority)
		if err != nil {
			return nil, errors.Wrap(err, "read the certificate authority of peers")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(authority) {
			return nil, errors.Newf("%s contains no PEM certificate", s.Authority)
		}
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{certificate},
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    pool,
			RootCAs:      pool,
		}, nil
	}
}
